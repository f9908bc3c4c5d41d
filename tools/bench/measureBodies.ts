/**
 * Compares two builds of the platform program: `npx tsx tools/bench/measureBodies.ts BEFORE.mjs [AFTER.mjs]`.
 * Each build runs two nodes in processes of their own. Blocks of requests alternate between the builds, and each block
 * of small responses is paired with direct requests to the same backend server.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { Agent, type IncomingMessage, request, type ServerResponse } from 'node:http'
import { resolve } from 'node:path'
import { type NodePair, startNodePair } from '../../platform/pressure/startNodePair'

/** Sizes of responses, and how many are fetched in a block. */
const SIZES = [
  { name: '1 kB', bytes: 1_024, count: 1_000 },
  { name: '1 MB', bytes: 1_048_576, count: 60 },
  { name: '16 MB', bytes: 16_777_216, count: 8 }
] as const

const ROUNDS = 6
const WARM_UP_REQUESTS = 3_000
const MICROSECONDS_PER_MILLISECOND = 1_000

const agent = new Agent({ keepAlive: true, maxSockets: 4 })

function answer (req: IncomingMessage, res: ServerResponse): void {
  req.resume()
  res.writeHead(200, { 'x-request-id': req.headers['x-request-id'] ?? '', 'x-server-stamp': 'stamp' })
  res.end(Buffer.alloc(Number((req.url ?? '').split('/')[3] ?? 2)))
}

async function fetchOnce (port: number, bytes: number): Promise<number> {
  const startedAt = performance.now()
  const headers = { host: 'shop.example', 'x-request-id': 'r', 'x-deadline-ms': '30000' }
  return await new Promise((resolve, reject) => {
    request({ host: '127.0.0.1', port, path: `/open/long/${bytes}`, agent, headers }, (res) => {
      let received = 0
      res.on('data', (chunk: Buffer) => { received += chunk.length })
      res.on('end', () => {
        if (res.statusCode === 200 && received === bytes) resolve(performance.now() - startedAt)
        else reject(new Error(`status ${res.statusCode ?? 0}, ${received} of ${bytes} bytes`))
      })
      res.on('error', reject)
    }).on('error', reject).end()
  })
}

/** Results of one build. */
interface BuildResults {
  readonly name: string
  readonly pair: NodePair
  readonly histogram: Histogram
  readonly directHistogram: Histogram
  readonly processorMs: Map<string, number>
  readonly peakMb: Map<string, number>
}

async function startBuild (name: string, program: string): Promise<BuildResults> {
  const pair = await startNodePair(answer, { program: resolve(program) })
  for (let index = 0; index < WARM_UP_REQUESTS; index++) await fetchOnce(pair.callers.callerPort, 1_024)
  return { name, pair, histogram: build(), directHistogram: build(), processorMs: new Map(), peakMb: new Map() }
}

async function measureBlock (results: BuildResults, { name, bytes, count }: typeof SIZES[number]): Promise<void> {
  const { pair: { callers, server, backendPort }, histogram, directHistogram, processorMs, peakMb } = results
  const readProcessorMs = (): number => callers.readProcessorMs() + server.readProcessorMs()
  const before = readProcessorMs()
  for (let index = 0; index < count; index++) {
    const elapsedMs = await fetchOnce(callers.callerPort, bytes)
    if (bytes !== SIZES[0].bytes) continue
    histogram.recordValue(elapsedMs * MICROSECONDS_PER_MILLISECOND)
    directHistogram.recordValue(await fetchOnce(backendPort, bytes) * MICROSECONDS_PER_MILLISECOND)
  }
  processorMs.set(name, (processorMs.get(name) ?? 0) + readProcessorMs() - before)
  peakMb.set(name, Math.max(callers.readPeakMemoryMb(), server.readPeakMemoryMb()))
}

const [beforeProgram, afterProgram = 'dist/lavenderturn-platform.mjs'] = process.argv.slice(2)
if (beforeProgram === undefined) throw new Error('expected the program of the code before')
const builds = [await startBuild('before', beforeProgram), await startBuild('after', afterProgram)]
for (const size of SIZES) {
  for (let round = 0; round < ROUNDS; round++) {
    for (const results of round % 2 === 0 ? builds : [...builds].reverse()) await measureBlock(results, size)
  }
}
for (const { name, histogram, directHistogram, processorMs, peakMb, pair } of builds) {
  const added = (percentile: number): string => {
    const micros = histogram.getValueAtPercentile(percentile) - directHistogram.getValueAtPercentile(percentile)
    return (micros / MICROSECONDS_PER_MILLISECOND).toFixed(3)
  }
  process.stdout.write(`${name}: added to a response of 1 kB: p50 ${added(50)} ms, p99 ${added(99)} ms\n`)
  for (const size of SIZES) {
    const perResponse = (processorMs.get(size.name)! / (size.count * ROUNDS)).toFixed(3)
    process.stdout.write(`${name}: ${size.name}: ${perResponse} ms of both nodes a response, peak of a node so far ${peakMb.get(size.name)!.toFixed(0)} MB\n`)
  }
  pair.stop()
}
agent.destroy()
