/**
 * Measures the latency that two nodes add to a request: `npx tsx tools/bench/measurePath.ts [seconds]`.
 * Each request through the nodes is paired with a direct request to the same backend server, in alternating order.
 * The nodes are processes that run the bundles in `dist`, with a platform stand-in.
 */
import { build } from 'hdr-histogram-js'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { Agent, request } from 'node:http'
import { cpus, tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { ChildProcesses } from '../../apps/demo/src/ChildProcesses'
import { DEMO_REGION, DEMO_TEAMS } from '../../apps/demo/src/demoTraffic'
import { findPorts } from '../../apps/demo/src/findPorts'
import { makeDemoDeclaration } from '../../apps/demo/src/makeDemoDeclaration'

const REQUESTS_PER_SECOND = 108
const WARM_UP_PAIRS = 300

/** Covers the time until the JIT compiler has optimized the code; in production, nodes run for hours. */
const WARM_UP_REQUESTS = 10_000
const WARM_UP_CALLERS = 8
const MICROSECONDS_PER_MILLISECOND = 1_000

/** Far above the load, so that no request is delayed or refused by the rate limit. */
const TEAM_RATE = 100_000

const MAX_APPLY_ATTEMPTS = 20

const STORE_CREDENTIALS = ['--access-key-id', 'standin', '--secret-access-key', 'standin-secret']

/** Returns the command of a program that `npm run build` has bundled. */
function findProgram (name: string): string[] {
  return [process.execPath, fileURLToPath(new URL(`../../dist/${name}.mjs`, import.meta.url))]
}

const children = new ChildProcesses({ onStopping: () => {}, onExit: () => {} })
const agent = new Agent({ keepAlive: true })

async function measureRequest (address: string, path: string): Promise<number> {
  const startedAt = performance.now()
  const [host, port] = address.split(':')
  const headers = { authorization: `Bearer ${DEMO_TEAMS[0]!.key}` }
  return await new Promise((resolve, reject) => {
    request({ host, port, path, agent, headers }, (res) => {
      res.resume()
      res.on('end', () => {
        if (res.statusCode === 200) resolve(performance.now() - startedAt)
        else reject(new Error(`status ${res.statusCode}`))
      })
    }).on('error', reject).end()
  })
}

interface Path {
  readonly caller: string
  readonly direct: string
  /** Admin addresses of the gateway node and the admission node. */
  readonly admins: readonly string[]
}

/** Reads the CPU time of a node, which depends little on other load on the machine. */
async function readCpuSeconds (admin: string): Promise<number> {
  const res = await fetch(`http://${admin}/metrics`)
  return Number(/^process_cpu_seconds_total (\S+)$/m.exec(await res.text())![1])
}

async function startProcesses (): Promise<Path> {
  const [platform, platformAdmin, ...ports] = await findPorts(10)
  const admins = [ports[3], ports[7]].map((port) => `127.0.0.1:${port}`)
  const controls = [ports[2], ports[6]].map((port) => `127.0.0.1:${port}`)
  await children.start('platform', [
    ...findProgram('standin-platform'), '--port', String(platform), '--admin-port', String(platformAdmin)
  ])
  const store = `http://127.0.0.1:${platform}/lavenderturn`
  for (const [index, name] of ['gateway', 'admission'].entries()) {
    const [caller, forward, control, admin] = ports.slice(index * 4).map((port) => `127.0.0.1:${port}`)
    void children.start(name, [
      ...findProgram('lavenderturn-node'), '--node-id', name, '--data-centre', 'dc-1', '--region', DEMO_REGION,
      '--caller-address', caller!, '--forward-address', forward!, '--control-address', control!,
      '--admin-address', admin!, '--peers', controls.filter((address) => address !== control).join(),
      '--table-store', store, '--object-store', store, ...STORE_CREDENTIALS, '--drain-grace', '10',
      '--log-level', 'warn'
    ])
  }
  const line = await children.start('backend', [
    ...findProgram('standin-backend-server'), '--service', 'stock', '--service-time-ms', '1', '--slots', '64',
    '--admin-address', admins[1]!
  ])
  await applyDeclaration(admins[0]!)
  return { caller: `127.0.0.1:${ports[0]}`, direct: JSON.parse(line!).address, admins }
}

async function applyDeclaration (admin: string): Promise<void> {
  const declaration = JSON.parse(makeDemoDeclaration())
  for (const team of declaration.teams) Object.assign(team, { ratePerSecond: TEAM_RATE, burst: TEAM_RATE })
  const folder = await mkdtemp(join(tmpdir(), 'lavenderturn-bench-'))
  const file = join(folder, 'declaration.json')
  await writeFile(file, JSON.stringify(declaration))
  // The nodes reject a declaration until they have discovered each other.
  for (let left = MAX_APPLY_ATTEMPTS; ; left--) {
    const code = await children.run('apply', [...findProgram('lavenderturn-ctl'), 'apply', file, '--node', admin])
    if (code === 0) break
    if (left === 0) throw new Error(`lavenderturn-ctl apply ended with code ${code}`)
    await delay(500)
  }
  await rm(folder, { recursive: true })
}

async function measure (seconds: number): Promise<void> {
  const { caller, direct, admins } = await startProcesses()
  for (let left = 200; ; left--) {
    if (await measureRequest(caller, '/stock/ready').then(() => true, () => false)) break
    if (left === 0) throw new Error('the path does not come up')
    await delay(100)
  }
  await Promise.all(Array.from({ length: WARM_UP_CALLERS }, async () => {
    for (let count = 0; count < WARM_UP_REQUESTS / WARM_UP_CALLERS; count++) await measureRequest(caller, '/stock/warm')
  }))
  const histograms = { direct: build(), path: build(), added: build() }
  const pairs = seconds * REQUESTS_PER_SECOND
  const startedAt = performance.now()
  const open: Array<Promise<void>> = []
  let cpuBefore: number[] = []
  for (let pair = 0; pair < pairs + WARM_UP_PAIRS; pair++) {
    if (pair === WARM_UP_PAIRS) cpuBefore = await Promise.all(admins.map(readCpuSeconds))
    await delay(Math.max(0, startedAt + pair * 1_000 / REQUESTS_PER_SECOND - performance.now()))
    open.push(runPair(pair, caller, direct, (name, ms) => {
      const value = Math.max(0, Math.round(ms * MICROSECONDS_PER_MILLISECOND))
      if (pair >= WARM_UP_PAIRS) histograms[name].recordValue(value)
    }))
  }
  await Promise.all(open)
  const cpuAfter = await Promise.all(admins.map(readCpuSeconds))
  process.stdout.write(`${pairs} pairs at ${REQUESTS_PER_SECOND} req/s, ${cpus().length} processors\n`)
  for (const [name, histogram] of Object.entries(histograms)) {
    const at = (percent: number): string => (histogram.getValueAtPercentile(percent) / 1_000).toFixed(2)
    process.stdout.write(`${name}: p10 ${at(10)} ms, p50 ${at(50)} ms, p90 ${at(90)} ms, p99 ${at(99)} ms, max ${at(100)} ms\n`)
  }
  for (const [index, name] of ['gateway', 'admission'].entries()) {
    const ms = (cpuAfter[index]! - cpuBefore[index]!) * 1_000 / pairs
    process.stdout.write(`${name}: ${ms.toFixed(3)} ms of processor time a request\n`)
  }
}

async function runPair (
  pair: number,
  caller: string,
  direct: string,
  record: (name: 'direct' | 'path' | 'added', ms: number) => void
): Promise<void> {
  const [first, second] = pair % 2 === 0 ? [caller, direct] : [direct, caller]
  const firstMs = await measureRequest(first!, '/stock/pegs')
  const secondMs = await measureRequest(second!, '/stock/pegs')
  const [pathMs, directMs] = pair % 2 === 0 ? [firstMs, secondMs] : [secondMs, firstMs]
  record('path', pathMs)
  record('direct', directMs)
  record('added', pathMs - directMs)
}

try {
  await measure(Number(process.argv[2] ?? 30))
} finally {
  agent.destroy()
  await children.stopAll()
}
