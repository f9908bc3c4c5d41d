/** A small stand-in of an endpoint: runs requests, echoes their ids, signs its answers and sends heartbeats. */
import { createServer, request } from 'node:http'
import { LOOPBACK } from './loopback.mjs'

const HEARTBEAT_MS = 1_500

/** An endpoint beside one node. */
export class Endpoint {
  #server
  #sockets = new Set()
  #timer
  #restart
  #seq = 0
  #starts = 0

  /**
   * @param {object} options - what it is
   * @param {string} options.id - its id
   * @param {string} options.service - its service
   * @param {string} options.zone - its zone
   * @param {number} options.controlPort - where its node takes heartbeats
   * @param {(run: object) => void} options.onRun - called when it begins to work on a request
   * @param {(head: object) => number} options.workMs - how long a request takes
   */
  constructor (options) {
    this.options = { slots: 6, workMs: () => 50, ...options }
  }

  /** How much longer it is cold; it says so in its heartbeats and health answers. */
  get coldMs () {
    return Math.max(0, Math.round((this.coldUntil ?? 0) - performance.now()))
  }

  /** Starts a new incarnation. */
  async start () {
    const { options } = this
    this.#starts += 1
    this.born = Date.now()
    this.id = `${options.id}-${this.#starts}`
    this.#seq = 0
    this.#server = createServer((req, res) => { void this.#run(req, res) })
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.once('close', () => { this.#sockets.delete(socket) })
    })
    await new Promise((resolve) => { this.#server.listen(this.port ?? 0, LOOPBACK, resolve) })
    this.port = this.#server.address().port
    this.#timer = setInterval(() => { this.beat() }, HEARTBEAT_MS)
    this.beat()
  }

  /** Crashes: its connections are reset, and nothing is sent any more until it is back. */
  crash () {
    clearInterval(this.#timer)
    this.#server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.#restart = setTimeout(() => { void this.start() }, this.options.backAfterMs)
  }

  stop () {
    clearInterval(this.#timer)
    clearTimeout(this.#restart)
    this.#server?.close()
    this.#server?.closeAllConnections()
  }

  /** Leaves as some endpoints do: it deregisters first, serves on for a while, and says so in all its answers. */
  async leave () {
    clearInterval(this.#timer)
    this.isLeaving = true
    return await this.#call(`/lavenderturn/Instances.Deregister/${this.id}`, { born: this.born })
  }

  /** Sends a heartbeat that arrives late. */
  beatLate (afterMs) {
    const { path, body } = this.#composeBeat()
    setTimeout(() => { void this.#call(path, body) }, afterMs)
  }

  /** Sends one heartbeat. */
  beat () {
    const { path, body } = this.#composeBeat()
    return this.#call(path, body)
  }

  #composeBeat () {
    const { service, zone, slots } = this.options
    this.lastBeatAt = performance.now()
    const body = {
      address: `${LOOPBACK}:${this.port}`,
      born: this.born,
      info: { service, version: 'v1', zone, slots },
      status: { state: 'ready', seq: ++this.#seq, cold_remaining: `${this.coldMs}ms` }
    }
    return { path: `/lavenderturn/Instances.Heartbeat/${this.id}`, body }
  }

  #call (path, body) {
    return new Promise((resolve) => {
      const call = request({ host: LOOPBACK, port: this.options.controlPort, path, method: 'POST', agent: false })
      call.setTimeout(1_000, () => { call.destroy() })
      call.on('response', (res) => {
        res.resume()
        resolve(res.statusCode)
      })
      // The node may be down; the next heartbeat is sent in any case.
      call.on('error', () => { resolve(undefined) })
      call.end(JSON.stringify(body))
    })
  }

  async #run (req, res) {
    const chunks = []
    const { headers, method, url } = req
    try {
      for await (const chunk of req) chunks.push(chunk)
    } catch {
      return
    }
    if (url === '/healthz') {
      return res.writeHead(200, { 'x-instance-id': this.id, 'x-cold-ms': String(this.coldMs) }).end()
    }
    const id = headers['x-request-id'] ?? ''
    if (headers['x-expect-instance'] !== this.id) {
      return res.writeHead(421, { 'x-instance-id': this.id, 'x-request-id': id }).end()
    }
    const run = { at: performance.now(), id, method, url, endpoint: this.id, isCold: this.coldMs > 0, outcome: 'broken off' }
    this.options.onRun(run)
    if (this.options.crashes?.(run) === true) return this.crash()
    const timer = setTimeout(() => {
      run.outcome = 'ended'
      run.endedAt = performance.now()
      const body = `answer to ${id}`
      const answer = { 'x-request-id': id, 'x-server-stamp': `stamp.${id}`, 'content-length': body.length }
      if (this.isLeaving === true) answer['server-leaving'] = '1'
      res.writeHead(200, answer).end(body)
    }, this.options.workMs(run))
    // Most endpoints drop a request when its connection closes.
    res.once('close', () => { clearTimeout(timer) })
  }
}
