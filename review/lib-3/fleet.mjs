// Starts the project's program as the deploy file says, on loopback addresses, and sends requests to it.
import { spawn } from 'node:child_process'
import { createSocket } from 'node:dgram'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))

/** Bounds of the site file that the cases name. */
export const BOUNDS = {
  revoke: '5000ms',
  grace: '6s',
  coldOver: 1.5,
  coldSlack: 5,
  retryRatio: 0.2,
  retrySlack: 60,
  exposeShare: null,
  exposeSlack: null,
  rollback: null
}

/** `stable_window` of the site. */
export const STABLE_WINDOW_MS = 3_000

/** @returns whether the case plays its disruption */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Reads the command of the role from the deploy file. */
function readCommand () {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  return /^run = "([^"]+)"$/m.exec(text)[1].split(' ')
}

/** Ports below those that the system gives to outgoing connections, so that none of these takes one of them. */
const PORTS = { first: 12_000, count: 18_000 }

const taken = new Set()

/** Finds a port that is free for TCP and UDP, and not given out before. */
async function findPort () {
  for (;;) {
    const port = PORTS.first + Math.floor(Math.random() * PORTS.count)
    if (taken.has(port) || !await isFree(port)) continue
    taken.add(port)
    return port
  }
}

async function isFree (port) {
  const server = createServer()
  const socket = createSocket('udp4')
  try {
    await new Promise((resolve, reject) => { server.once('error', reject).listen(port, '127.0.0.1', resolve) })
    await new Promise((resolve, reject) => { socket.once('error', reject).bind(port, '127.0.0.1', resolve) })
    return true
  } catch {
    // Another process has it.
    return false
  } finally {
    server.close()
    socket.close()
  }
}

/** Collects what happens, in order, and writes it to the record of the case. */
export class Record {
  #lines = []
  #startedAt = performance.now()

  constructor (path) {
    this.path = path
  }

  get elapsedMs () {
    return performance.now() - this.#startedAt
  }

  add (text) {
    this.#lines.push(`${(this.elapsedMs / 1_000).toFixed(3)} ${text}`)
  }

  /** Adds a line and prints it. */
  say (text) {
    this.add(text)
    process.stdout.write(`${this.#lines.at(-1)}\n`)
  }

  write () {
    writeFileSync(this.path, `${this.#lines.join('\n')}\n`)
  }
}

/** A node of the system in a process of its own. */
export class NodeProcess {
  child
  startedAt = 0
  lines = []

  constructor (name, settings, path, record) {
    this.name = name
    this.settings = settings
    this.path = path
    this.record = record
  }

  get callerPort () {
    return Number(this.settings.callerAddress.split(':')[1])
  }

  get control () {
    return this.settings.announcementAddress
  }

  start () {
    const [program, ...args] = readCommand()
    const { PATH, HOME, LANG } = process.env
    this.child = spawn(program, args, {
      cwd: ROOT, env: { PATH, HOME, LANG, LAVENDERTURN_CONFIG: this.path }, stdio: ['ignore', 'pipe', 'pipe']
    })
    this.startedAt = performance.now()
    for (const stream of [this.child.stdout, this.child.stderr]) {
      stream.on('data', (data) => {
        for (const line of data.toString().split('\n')) {
          if (/"level":"(warn|error)"|node ends|node started|crash|registry read|configuration in force/.test(line)) {
            this.record.add(`log ${this.name} ${line.slice(0, 300)}`)
          }
        }
      })
    }
  }

  get isRunning () {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }

  async end (signal) {
    if (!this.isRunning) return
    const ended = new Promise((resolve) => { this.child.once('exit', resolve) })
    this.child.kill(signal)
    await ended
  }

  async isReady () {
    const [host, port] = this.settings.readinessAddress.split(':')
    return await new Promise((resolve) => {
      const call = request({ host, port, path: '/lavenderturn/readyz', agent: false, timeout: 1_000 }, (res) => {
        res.resume()
        resolve(res.statusCode === 200)
      })
      call.on('timeout', () => { call.destroy() })
      call.on('error', () => { resolve(false) })
      call.end()
    })
  }

  async waitUntilReady (timeoutMs = 10_000) {
    const deadline = performance.now() + timeoutMs
    while (!await this.isReady()) {
      if (performance.now() > deadline) throw new Error(`${this.name} was not ready within ${timeoutMs} ms`)
      await pause(50)
    }
  }
}

/** A deployment: a store, nodes, and what has to be stopped at the end. */
export class Fleet {
  nodes = []
  closers = []
  #folder = mkdtempSync(join(tmpdir(), 'review-3-'))
  #agent = new Agent({ keepAlive: true, maxSockets: Infinity })
  #nextRequest = 0

  constructor (record) {
    this.record = record
  }

  /** Starts a node beside an endpoint of `service`. */
  async startNode ({ name, zone, service, storeAddress, memoryMb = 350, maxDescriptors = 4_100 }) {
    const at = async () => `127.0.0.1:${await findPort()}`
    const settings = {
      nodeId: name,
      dataCentre: zone,
      service,
      peerAddress: await at(),
      forwardAddress: await at(),
      callerAddress: await at(),
      announcementAddress: await at(),
      readinessAddress: await at(),
      metricsAddress: await at(),
      storeAddress,
      logLevel: 'info',
      memoryMb,
      maxDescriptors,
      announceInterval: '1500ms',
      bounds: BOUNDS
    }
    const path = join(this.#folder, `${name}.json`)
    writeFileSync(path, JSON.stringify(settings))
    const node = new NodeProcess(name, settings, path, this.record)
    node.start()
    this.nodes.push(node)
    return node
  }

  /**
   * Sends a request as a client on the machine of a node does.
   *
   * @returns its id, and its status; 0 if the connection ended without an answer
   */
  async send (node, { method = 'GET', host = 'shop.example', path, key, deadlineMs, body, id }) {
    const requestId = id ?? `c${(this.#nextRequest++).toString(16).padStart(8, '0')}`
    const sentAt = performance.now()
    return await new Promise((resolve) => {
      const finish = (status, headers = {}) => {
        resolve({ requestId, status, headers, sentAt, elapsedMs: performance.now() - sentAt })
      }
      const call = request({
        host: '127.0.0.1',
        port: node.callerPort,
        method,
        path,
        agent: this.#agent,
        headers: {
          host,
          'x-request-id': requestId,
          'x-deadline-ms': deadlineMs,
          ...key !== undefined && { 'x-key': key },
          ...body !== undefined && { 'content-length': Buffer.byteLength(body) }
        }
      }, (res) => {
        res.on('error', () => { finish(0) })
        res.on('end', () => { finish(res.complete ? res.statusCode : 0, res.headers) })
        res.resume()
      })
      const timer = setTimeout(() => { call.destroy() }, deadlineMs)
      call.on('error', () => { finish(0) })
      call.on('close', () => { clearTimeout(timer) })
      call.end(body)
    })
  }

  async stop () {
    for (const close of this.closers.splice(0).reverse()) close()
    this.#agent.destroy()
    await Promise.all(this.nodes.map((node) => node.end('SIGKILL')))
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

/** Composes a configuration as the operator writes it. */
export function makeConfiguration ({ version = 'r1', tenants, services, rules }) {
  return {
    version,
    limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout: '3000ms', idle_timeout: '15000ms' },
    tenants,
    listeners: [{ host: 'shop.example', rules }],
    clusters: services.map(({ name, coldPerSecond }) => ({
      name,
      health_path: '/healthz',
      max_connections: 360,
      protocol: 'h1',
      tls: false,
      cold_start: '3s',
      cold_per_s: coldPerSecond
    }))
  }
}

/** Composes a route. */
export function makeRule ({ name, kind, prefix, service, priority = 1, isPublic = false, timeout = '4000ms' }) {
  return {
    name,
    kind,
    target_latency: '2000ms',
    priority,
    public: isPublic,
    match: { prefix },
    action: { service, timeout, max_attempts: 2 }
  }
}

/**
 * Plays a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 *
 * @param folder URL of the script
 * @param play plays the case and returns what broke the rule, or undefined
 */
export async function playCase (url, play) {
  const record = new Record(fileURLToPath(new URL('record.txt', url)))
  const fleet = new Fleet(record)
  let code = 2
  const limit = setTimeout(() => {
    record.say('the case took too long')
    record.write()
    for (const node of fleet.nodes) node.child?.kill('SIGKILL')
    process.exit(2)
  }, 117_000)
  try {
    record.say(`disruption: ${hasTrouble ? 'yes' : 'no'}`)
    const broken = await play(fleet, record)
    record.say(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`)
    code = broken === undefined ? 0 : 1
  } catch (err) {
    record.say(`the case could not run: ${err.stack}`)
  }
  await fleet.stop()
  clearTimeout(limit)
  record.write()
  process.exit(code)
}
