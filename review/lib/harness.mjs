// Stand-ins for the cases of this review: the platform's store, endpoints, clients, and the platform that starts nodes.
// The nodes are the project's own program, started with the command of the deploy file.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import dgram from 'node:dgram'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const HOST = '127.0.0.1'
export const pause = async (ms) => await new Promise((resolve) => { setTimeout(resolve, ms) })

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const HEARTBEAT_MS = 1_500
const RESTART_DELAY_MS = 300
const LIMIT_MS = 110_000

const CONFIGURATION_LIMITS = {
  max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout: '3s', idle_timeout: '15s'
}

/** The bounds of the users' deployments that the program reads. */
const BOUNDS = { revoke: '5000ms', grace: '6s', coldOver: 1.5, coldSlack: 5, retryRatio: 0.2, retrySlack: 60 }

/** What was sent, answered and run, and everything that has to be ended. */
export class Trial {
  constructor (folder) {
    this.startedAt = performance.now()
    this.hasTrouble = process.env.TROUBLE !== '0'
    this.file = join(folder, 'record.txt')
    this.lines = []
    this.closers = []
    this.folder = mkdtempSync(join(tmpdir(), 'review-'))
    this.closers.push(() => { rmSync(this.folder, { recursive: true, force: true }) })
    process.once('exit', () => { this.close() })
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.once(signal, () => { process.exit(2) })
    setTimeout(() => { this.finish(2, 'the time of the script is over') }, LIMIT_MS).unref()
    for (const event of ['uncaughtException', 'unhandledRejection']) {
      process.on(event, (err) => { this.finish(2, `the script failed: ${String(err?.stack ?? err)}`) })
    }
  }

  /** @returns milliseconds since the start */
  now () { return performance.now() - this.startedAt }

  note (kind, fields) {
    const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ')
    this.lines.push(`${(this.now() / 1_000).toFixed(3)} ${kind} ${text}`)
  }

  close () {
    for (const close of this.closers.splice(0).reverse()) close()
    writeFileSync(this.file, `${this.lines.join('\n')}\n`)
  }

  /** Ends the script: 0 held, 1 broken, 2 could not run. */
  finish (code, text) {
    this.note('verdict', { code, text })
    process.stdout.write(`${code === 0 ? 'held' : code === 1 ? 'broken' : 'not run'}: ${text}\n`)
    process.exit(code)
  }
}

const usedPorts = new Set()

/** @returns ports that are free for TCP and UDP, below those that the system gives to connections */
export async function findPorts (count) {
  const ports = []
  while (ports.length < count) {
    const port = 12_000 + Math.floor(Math.random() * 18_000)
    if (usedPorts.has(port)) continue
    usedPorts.add(port)
    const server = net.createServer()
    const socket = dgram.createSocket('udp4')
    const areFree = await Promise.all([
      new Promise((resolve) => { server.once('error', () => { resolve(false) }).listen(port, HOST, () => { resolve(true) }) }),
      new Promise((resolve) => { socket.once('error', () => { resolve(false) }).bind(port, HOST, () => { resolve(true) }) })
    ])
    await new Promise((resolve) => { server.close(resolve) })
    await new Promise((resolve) => { socket.close(resolve) })
    if (areFree.every(Boolean)) ports.push(port)
  }
  return ports
}

/** The platform's store in the form of tables. `mode`: `ok`, `silent` or `busy`. */
export class Store {
  constructor (trial) {
    this.trial = trial
    this.rows = new Map()
    this.history = []
    this.version = 0
    this.mode = 'ok'
    /** Added to each answer. */
    this.delayMs = 4
    this.waiters = new Set()
  }

  async start () {
    const server = http.createServer((req, res) => { void this.serve(req, res) }).listen(0, HOST)
    await once(server, 'listening')
    this.trial.closers.push(() => { server.closeAllConnections() })
    this.address = `${HOST}:${server.address().port}`
  }

  /** Writes a row as the operator does. */
  put (table, key, value) {
    this.apply([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
    this.trial.note('operator', { wrote: `${table}/${key}`, version: value.version ?? '' })
  }

  setMode (mode) {
    this.mode = mode
    this.trial.note('store', { mode })
  }

  apply (puts, deletes) {
    const ver = ++this.version
    for (const { table, key, value } of puts) {
      this.rows.set(`${table}\n${key}`, { table, part: '', key, value, ver })
      this.history.push({ table, part: '', key, value, ver })
    }
    for (const { table, key } of deletes) {
      if (this.rows.delete(`${table}\n${key}`)) this.history.push({ table, part: '', key, ver, removed: true })
    }
    for (const wake of this.waiters) wake()
  }

  async serve (req, res) {
    const url = new URL(req.url, 'http://store')
    let text = ''
    for await (const chunk of req) text += chunk
    if (this.mode === 'silent') return
    if (this.delayMs > 0) await pause(this.delayMs)
    if (this.mode !== 'ok') {
      res.writeHead(503).end()
      return
    }
    const { status, body } = await this.answer(url, text)
    if (this.mode === 'silent') return
    const content = JSON.stringify({ ...body, ver: this.version, now: `${Math.round(this.trial.now())}ms` })
    res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(content) })
    res.end(content)
  }

  async answer ({ pathname, searchParams }, text) {
    const table = searchParams.get('table')
    const list = () => [...this.rows.values()].filter((row) => row.table === table)
    switch (pathname) {
      case '/lavenderturn/rows-tx': {
        const { expect = [], puts = [], deletes = [] } = JSON.parse(text)
        const find = ({ table, key }) => this.rows.get(`${table}\n${key}`)
        if (expect.some((row) => (find(row)?.ver ?? 0) !== row.ver)) {
          return { status: 412, body: { rows: expect.flatMap((row) => find(row) ?? []) } }
        }
        this.apply(puts, deletes)
        return { status: 200, body: {} }
      }
      case '/lavenderturn/rows-get': {
        const from = searchParams.get('from') ?? ''
        const rows = list().filter(({ key }) => key >= from).sort((left, right) => left.key < right.key ? -1 : 1)
        return { status: 200, body: { rows, has_more: false } }
      }
      case '/lavenderturn/rows-feed': {
        const after = Number(searchParams.get('after'))
        const find = () => this.history.filter((row) => row.table === table && row.ver > after)
        const until = this.trial.now() + Number(searchParams.get('wait_ms'))
        while (find().length === 0 && this.trial.now() < until) {
          let wake
          const changed = new Promise((resolve) => { this.waiters.add(wake = resolve) })
          await Promise.race([pause(until - this.trial.now()), changed])
          this.waiters.delete(wake)
        }
        return { status: 200, body: { rows: find() } }
      }
      default: return { status: 404, body: {} }
    }
  }
}

/** A machine: the node, which is started again when it ends, and the addresses of its endpoint. */
export class Machine {
  constructor (trial, store, { name, zone, service }) {
    Object.assign(this, { trial, store, name, zone, service, ends: 0, isOver: false })
  }

  async start () {
    const [peer, forward, caller, control, ready, metrics] = await findPorts(6)
    Object.assign(this, { caller, control, ready })
    const at = (port) => `${HOST}:${port}`
    this.settings = join(this.trial.folder, `${this.name}.json`)
    writeFileSync(this.settings, JSON.stringify({
      nodeId: this.name,
      dataCentre: this.zone,
      service: this.service,
      peerAddress: at(peer),
      forwardAddress: at(forward),
      callerAddress: at(caller),
      announcementAddress: at(control),
      readinessAddress: at(ready),
      metricsAddress: at(metrics),
      storeAddress: this.store.address,
      logLevel: 'info',
      announceInterval: `${HEARTBEAT_MS}ms`,
      bounds: BOUNDS
    }))
    this.trial.closers.push(() => {
      this.isOver = true
      this.child?.kill('SIGKILL')
    })
    this.spawn()
  }

  spawn () {
    if (this.isOver) return
    const deployment = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
    const [program, ...args] = /^run = "(.*)"$/m.exec(deployment)[1].split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, args, {
      cwd: ROOT, env: { PATH, HOME, LANG, LAVENDERTURN_CONFIG: this.settings }, stdio: ['ignore', 'ignore', 'pipe']
    })
    this.child = child
    this.trial.note('node started', { node: this.name })
    let errors = ''
    child.stderr.on('data', (data) => { errors = (errors + data.toString()).slice(-4_000) })
    child.once('exit', (code, signal) => {
      if (this.isOver) return
      this.ends += 1
      const reason = errors.split('\n').find((line) => /Error/.test(line)) ?? ''
      this.trial.note('node ended', { node: this.name, code, signal, reason: JSON.stringify(reason.trim()) })
      setTimeout(() => { this.spawn() }, RESTART_DELAY_MS)
    })
  }

  kill (signal) {
    this.trial.note('platform', { sends: signal, to: this.name })
    this.child.kill(signal)
  }

  async isReady () {
    return await new Promise((resolve) => {
      const req = http.get({ host: HOST, port: this.ready, path: '/lavenderturn/readyz', agent: false, timeout: 1_000 }, (res) => {
        res.resume()
        resolve(res.statusCode === 200)
      })
      req.on('timeout', () => { req.destroy() })
      req.on('error', () => { resolve(false) })
    })
  }
}

/** @param machines - the machines that have to be ready */
export async function waitUntilReady (trial, machines) {
  for (let attempts = 0; attempts < 100; attempts++) {
    const ready = await Promise.all(machines.map(async (machine) => await machine.isReady()))
    if (ready.every(Boolean)) return
    await pause(100)
  }
  trial.finish(2, 'the nodes were not ready within 10 s')
}

/** An endpoint. It runs `slots` requests at a time, queues a few, and says what it does as the pages tell. */
export class Endpoint {
  constructor (trial, machine, { id, slots = 6, workMs, spoil, endless, onArrival }) {
    Object.assign(this, { trial, machine, id, slots, workMs, spoil, endless, onArrival })
    Object.assign(this, { running: 0, queue: [], answers: 0, sequence: 0, born: Date.now(), state: 'ready', coldUntil: 0 })
    /** Requests that began to run, by id: when, and how often. */
    this.runs = new Map()
    /** Requests that were dropped while they ran, by id: when. */
    this.cuts = new Map()
    this.sockets = new Set()
  }

  async start () {
    this.server = net.createServer((socket) => { this.accept(socket) }).listen(0, HOST)
    await once(this.server, 'listening')
    this.port = this.server.address().port
    this.trial.closers.push(() => { this.stop() })
    void this.announce()
    this.timer = setInterval(() => { void this.announce() }, HEARTBEAT_MS)
  }

  stop () {
    clearInterval(this.timer)
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  get coldRemainingMs () { return Math.max(0, Math.ceil(this.coldUntil - this.trial.now())) }

  async announce () {
    const body = JSON.stringify({
      address: `${HOST}:${this.port}`,
      born: this.born,
      info: { service: this.machine.service, zone: this.machine.zone, version: 'v1', slots: this.slots },
      status: { state: this.state, seq: ++this.sequence, cold_remaining: `${this.coldRemainingMs}ms` }
    })
    const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
    await new Promise((resolve) => {
      const path = `/lavenderturn/Instances.Heartbeat/${this.id}`
      const req = http.request({ host: HOST, port: this.machine.control, method: 'POST', path, headers, agent: false, timeout: 1_000 }, (res) => {
        res.resume()
        res.once('end', resolve)
      })
      req.on('timeout', () => { req.destroy() })
      req.on('error', resolve)
      req.on('close', resolve)
      req.end(body)
    })
  }

  accept (socket) {
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { this.sockets.delete(socket) })
    let pieces = []
    let size = 0
    let needed = 0
    socket.on('data', (data) => {
      pieces.push(data)
      size += data.length
      if (size < needed) return
      const received = Buffer.concat(pieces)
      pieces = [received]
      const end = received.indexOf('\r\n\r\n')
      if (end < 0) return
      const [first, ...lines] = received.subarray(0, end).toString('latin1').split('\r\n')
      const headers = Object.fromEntries(lines.map((line) => {
        const colon = line.indexOf(':')
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
      }))
      needed = end + 4 + Number(headers['content-length'] ?? 0)
      if (size < needed) return
      pieces = [received.subarray(needed)]
      size -= needed
      needed = 0
      const [method, path] = first.split(' ')
      void this.take(socket, { method, path, id: headers['x-request-id'] ?? '', headers })
    })
  }

  async take (socket, request) {
    const { headers, id } = request
    if (request.path === '/healthz') {
      this.reply(socket, request, { status: this.state === 'ready' ? 200 : 503 })
      return
    }
    this.onArrival?.(request)
    if (socket.destroyed) return
    if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== this.id) {
      this.reply(socket, request, { status: 421, notRun: true })
      return
    }
    if (this.running >= this.slots) {
      if (this.queue.length >= this.slots) {
        this.reply(socket, request, { status: 503, notRun: true })
        return
      }
      await new Promise((resolve) => { this.queue.push(resolve) })
    }
    if (socket.destroyed) {
      this.queue.shift()?.()
      return
    }
    this.running += 1
    this.runs.set(id, [...this.runs.get(id) ?? [], this.trial.now()])
    this.trial.note('run', { request: id, endpoint: this.id, tenant: headers['x-tenant'] ?? '-' })
    const isWhole = await this.work(socket, request)
    this.running -= 1
    this.queue.shift()?.()
    if (!isWhole) {
      this.cuts.set(id, this.trial.now())
      this.trial.note('run cut', { request: id, endpoint: this.id })
      return
    }
    this.reply(socket, request, { status: 200 })
  }

  /** @returns whether the work ended; it is dropped when its connection closes */
  async work (socket, request) {
    const workMs = typeof this.workMs === 'function' ? this.workMs(request) : this.workMs
    return await new Promise((resolve) => {
      const drop = () => {
        clearTimeout(timer)
        resolve(false)
      }
      const timer = setTimeout(() => {
        socket.off('close', drop)
        resolve(true)
      }, workMs)
      socket.once('close', drop)
    })
  }

  reply (socket, request, { status, notRun = false }) {
    if (socket.destroyed) return
    const body = `ran ${request.method} ${request.path}`
    const close = request.headers.connection?.toLowerCase() === 'close'
    const answer = [
      `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`,
      `X-Request-Id: ${request.id}`,
      ...notRun ? ['X-Not-Run: 1'] : ['X-Server-Stamp: stamp'],
      `X-Server-Load: ${this.running},${this.queue.length},${this.slots}`,
      `X-Instance-Id: ${this.id}`,
      `X-Cold-Ms: ${this.coldRemainingMs}`,
      ...close ? ['Connection: close'] : ['Keep-Alive: timeout=10'],
      `Content-Length: ${body.length}`, '', body
    ].join('\r\n')
    this.answers += 1
    const endless = this.endless?.(request, this.answers)
    if (endless !== undefined) {
      this.trial.note('endless answer', { request: request.id, endpoint: this.id })
      sendEndlessly(socket, endless)
      return
    }
    const spoilt = this.spoil?.(answer, this.answers) ?? answer
    if (spoilt !== answer) this.trial.note('spoilt answer', { request: request.id, endpoint: this.id, begins: JSON.stringify(spoilt.slice(0, 16)) })
    if (close) socket.end(spoilt)
    else socket.write(spoilt)
  }
}

/** Sends a beginning, then the same bytes again and again, as fast as they are taken, until the caller closes. */
function sendEndlessly (socket, { begin, repeat }) {
  const piece = Buffer.from(repeat)
  const send = () => {
    if (socket.destroyed) return
    if (socket.write(piece)) setImmediate(send)
  }
  socket.on('drain', send)
  socket.write(begin)
  send()
}

/** A client with one connection to the node of its machine, which it keeps. */
export class Client {
  constructor (trial, machine, { name, method = 'GET', path, key, deadlineMs = 4_000 }) {
    Object.assign(this, { trial, machine, name, method, path, key, deadlineMs, sent: 0, results: [] })
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    trial.closers.push(() => { this.agent.destroy() })
  }

  /** Sends one request, and records how it ended. */
  async send () {
    const id = `${this.name}-${++this.sent}`
    const { deadlineMs, method, path } = this
    const headers = { host: 'desk.example', 'x-request-id': id, 'x-deadline-ms': String(deadlineMs), connection: 'keep-alive' }
    if (this.key !== undefined) headers['x-key'] = this.key
    if (method === 'POST') headers['content-length'] = 0
    const sentAt = this.trial.now()
    const result = await new Promise((resolve) => {
      const req = http.request({ host: HOST, port: this.machine.caller, method, path, headers, agent: this.agent })
      const timer = setTimeout(() => { resolve({ end: 'deadline' }) }, deadlineMs + 500)
      const end = (value) => {
        clearTimeout(timer)
        resolve({ ...value, kept: req.reusedSocket })
      }
      req.on('response', (res) => {
        let body = ''
        res.on('data', (data) => { body += data })
        res.on('end', () => { end({ end: 'answered', status: res.statusCode, stamp: res.headers['x-server-stamp'], body }) })
        res.on('error', () => { end({ end: 'broken off', status: res.statusCode }) })
      })
      req.on('upgrade', (res, socket) => {
        socket.destroy()
        end({ end: 'answered', status: res.statusCode, stamp: res.headers['x-server-stamp'], body: '' })
      })
      req.on('error', (err) => { end({ end: err.code === 'ECONNREFUSED' ? 'not connected' : 'closed' }) })
      req.end()
    })
    this.results.push({ id, sentAt, endedAt: this.trial.now(), ...result })
    this.trial.note('request', { id, sent: (sentAt / 1_000).toFixed(3), end: result.end, status: result.status ?? '-', kept: result.kept })
    return this.results.at(-1)
  }

  /** Sends requests one after the other. */
  async run ({ untilMs, pauseMs }) {
    while (this.trial.now() < untilMs) {
      const { end } = await this.send()
      await pause(end === 'not connected' ? 200 : pauseMs)
    }
  }
}

/** @returns a configuration as the operator writes it */
export function makeConfiguration ({ version = 'r1', tenants = [], rules, services }) {
  return {
    version,
    limits: CONFIGURATION_LIMITS,
    tenants,
    listeners: [{
      host: 'desk.example',
      rules: rules.map(({ name, kind, prefix, service, isPublic = true, timeout = '4s' }) => ({
        name, kind, target_latency: '2s', priority: 1, public: isPublic, match: { prefix }, action: { service, timeout, max_attempts: 2 }
      }))
    }],
    clusters: services.map(({ name, coldPerS = 51 }) => ({
      name, health_path: '/healthz', max_connections: 360, cold_start: '3s', cold_per_s: coldPerS
    }))
  }
}
