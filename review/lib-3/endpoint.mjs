// Stand-in of an application endpoint, as PROTOCOL.md describes it. It is sound unless a case says otherwise.
import { createServer, request } from 'node:http'

const HEARTBEAT_MS = 1_500
const ACK_TIMEOUT_MS = 1_000

/**
 * @param {object} options
 * @param {string} options.name name in the record, and first part of its ids
 * @param {string} options.service
 * @param {string} options.zone
 * @param {string} options.control address of the node beside it
 * @param {number} options.slots
 * @param {number} options.workMs time that a request takes
 * @param {number} [options.coldStartMs] how long it is cold after a start during traffic
 * @param {() => object} [options.composeExtraHeaders] headers of each answer, besides the usual ones
 * @param {(run: object) => boolean} [options.onRun] called when a request begins to run; true if the case handles it
 */
export async function startEndpoint (options) {
  const { name, service, zone, control, slots, workMs, coldStartMs = 0 } = options
  const { composeExtraHeaders = () => ({}), onRun = () => false } = options
  const sockets = new Set()
  const queue = []
  let incarnation = 0
  let running = 0
  let server
  let port = 0
  let isUp = false
  let born = 0
  let seq = 0
  let coldUntil = 0
  let timer

  const id = () => `${name}-${incarnation}`
  const coldRemaining = () => Math.max(0, Math.round(coldUntil - performance.now()))

  const endpoint = {
    name,
    id,
    coldRemaining,
    get isUp () { return isUp },
    get address () { return `127.0.0.1:${port}` },
    /** Called after each acknowledged heartbeat. */
    onAcknowledged: () => {},
    /** The endpoint becomes cold without a restart. */
    becomeCold (ms) { coldUntil = performance.now() + ms },
    /** The process of the endpoint ends: its port closes, and its connections are reset. */
    crash () {
      if (!isUp) return
      isUp = false
      clearTimeout(timer)
      queue.length = 0
      running = 0
      server.close()
      for (const socket of sockets) socket.resetAndDestroy()
      sockets.clear()
    },
    async start ({ isCold = true } = {}) {
      incarnation += 1
      born = Date.now()
      seq = 0
      coldUntil = isCold ? performance.now() + coldStartMs : 0
      const own = incarnation
      server = createServer((req, res) => { accept(req, res, own).catch(() => { res.destroy() }) })
      server.on('connection', (socket) => {
        sockets.add(socket)
        socket.on('error', () => {})
        socket.once('close', () => { sockets.delete(socket) })
      })
      server.keepAliveTimeout = 10_000
      await new Promise((resolve) => { server.listen(port, '127.0.0.1', resolve) })
      port = server.address().port
      isUp = true
      beat()
    },
    stop () {
      this.crash()
    }
  }

  function beat () {
    if (!isUp) return
    timer = setTimeout(beat, HEARTBEAT_MS)
    const own = incarnation
    const body = JSON.stringify({
      address: endpoint.address,
      born,
      info: { service, version: 'v1', zone, slots },
      status: { state: 'ready', seq: ++seq, cold_remaining: `${coldRemaining()}ms` }
    })
    const [host, controlPort] = control.split(':')
    const call = request({
      host,
      port: controlPort,
      method: 'POST',
      path: `/lavenderturn/Instances.Heartbeat/${id()}`,
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
      agent: false,
      timeout: ACK_TIMEOUT_MS
    }, (res) => {
      res.resume()
      if (res.statusCode === 200 && own === incarnation) endpoint.onAcknowledged()
    })
    call.on('timeout', () => { call.destroy() })
    // The node may be away; the next heartbeat follows.
    call.on('error', () => {})
    call.end(body)
  }

  async function accept (req, res, own) {
    const pieces = []
    for await (const piece of req) pieces.push(piece)
    if (own !== incarnation || !isUp) return
    const { headers } = req
    const requestId = headers['x-request-id']
    if (req.method === 'GET' && req.url === '/healthz') {
      res.writeHead(200, { 'x-instance-id': id(), 'x-cold-ms': coldRemaining(), 'content-length': 0 }).end()
      return
    }
    if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== id()) {
      res.writeHead(421, { 'x-instance-id': id(), 'content-length': 0 }).end()
      return
    }
    if (requestId === undefined) {
      res.writeHead(400, { 'x-not-run': 1, 'content-length': 0 }).end()
      return
    }
    const job = { req, res, own, requestId, body: Buffer.concat(pieces) }
    if (running < slots) run(job)
    else if (queue.length < 64) queue.push(job)
    else res.writeHead(503, { 'x-not-run': 1, 'x-request-id': requestId, 'content-length': 0 }).end()
  }

  function run (job) {
    running += 1
    const { req, res, own, requestId } = job
    let isDone = false
    const done = () => {
      if (isDone || own !== incarnation || !isUp) return
      isDone = true
      running -= 1
      const next = queue.shift()
      if (next !== undefined) run(next)
    }
    // Endpoints drop a request when its connection closes.
    res.once('close', done)
    if (onRun({ endpoint, req, res, requestId, headers: req.headers, body: job.body })) return
    setTimeout(() => {
      if (own !== incarnation || !isUp || res.destroyed) return
      const text = `ran ${req.method} ${req.url}\n`
      res.writeHead(200, composeHeaders(requestId, text.length)).end(text)
    }, workMs)
  }

  function composeHeaders (requestId, length) {
    return {
      'x-request-id': requestId,
      'x-server-stamp': `${id()}.${requestId}`,
      'x-server-load': `${running},${queue.length},${slots}`,
      'content-length': length,
      ...composeExtraHeaders()
    }
  }

  endpoint.composeHeaders = composeHeaders
  await endpoint.start({ isCold: false })
  return endpoint
}
