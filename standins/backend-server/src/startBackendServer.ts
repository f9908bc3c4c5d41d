import { createHash, type Hash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { type BackendConfig, makeBackendConfig } from './BackendConfig'
import type { BackendEffect } from './BackendEffect'
import type { BackendEvent } from './BackendEvent'
import { type BackendRequest, type BackendState, createBackendState } from './BackendState'
import { createControlListener } from './createControlListener'
import { describeLoadReport } from './describeLoadReport'
import { postAnnouncement } from './postAnnouncement'
import { reduceBackend } from './reduceBackend'

/** Interval between announcements of a backend server. */
const ANNOUNCE_INTERVAL_MS = 1_000

/** @public */
export interface BackendServerOptions {
  readonly config?: BackendConfig
  readonly host?: string
  readonly port?: number
  readonly controlPort?: number
  /** Admin address of the local node; without one, nothing is announced. */
  readonly adminAddress?: string
  /** Delay until a crashed server restarts with a new boot id; without one, it does not restart. */
  readonly restartAfterMs?: number
  /** Called when the server has left, or has crashed and does not restart. */
  readonly onEnd?: (reason: 'left' | 'crashed') => void
}

/** A running stand-in of a backend server. @public */
export interface BackendServer {
  readonly address: string
  readonly controlAddress: string
  readonly state: BackendState
  dispatch: (event: BackendEventBody) => void
  close: () => Promise<void>
}

/** An event without its time, which `dispatch` adds. @public */
export type BackendEventBody = BackendEvent extends infer Event
  ? Event extends BackendEvent ? Omit<Event, 'at'> : never
  : never

interface OpenRequest {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly digest: Hash
}

/**
 * Starts a stand-in of a backend server.
 *
 * @param options - configuration, ports and the node that receives its announcements
 * @returns the running server
 * @public
 */
export async function startBackendServer (options: BackendServerOptions = {}): Promise<BackendServer> {
  const shell = new BackendServerRuntime(options)
  await shell.start()
  return shell
}

/** Passes events to `reduceBackend` and runs its effects. */
class BackendServerRuntime implements BackendServer {
  readonly state: BackendState
  private readonly options: BackendServerOptions
  private readonly server: Server
  private readonly control: Server
  private readonly openRequests = new Map<number, OpenRequest>()
  private readonly sockets = new Set<Socket>()
  private readonly timers = new Set<NodeJS.Timeout>()
  private announceTimer: NodeJS.Timeout | undefined
  private nextId = 0
  private port = 0

  constructor (options: BackendServerOptions) {
    this.options = options
    this.state = createBackendState(options.config ?? makeBackendConfig(), `boot-${process.pid}`)
    this.server = createServer((req, res) => { this.accept(req, res, false) })
    this.server.on('checkContinue', (req, res) => { this.accept(req, res, true) })
    this.server.on('connection', (socket) => {
      this.sockets.add(socket)
      socket.once('close', () => { this.sockets.delete(socket) })
    })
    this.control = createServer(createControlListener({
      state: this.state, dispatch: (event) => { this.dispatch(event) }
    }))
  }

  get address (): string {
    return `${this.host}:${this.port}`
  }

  get controlAddress (): string {
    return `${this.host}:${(this.control.address() as AddressInfo).port}`
  }

  async start (): Promise<void> {
    await listen(this.server, this.options.port ?? 0, this.host)
    this.port = (this.server.address() as AddressInfo).port
    await listen(this.control, this.options.controlPort ?? 0, this.host)
    if (this.options.adminAddress === undefined) return
    this.dispatch({ type: 'announceDue' })
    this.announceTimer = setInterval(() => { this.dispatch({ type: 'announceDue' }) }, ANNOUNCE_INTERVAL_MS)
  }

  dispatch (event: BackendEventBody): void {
    const effects = reduceBackend(this.state, { ...event, at: performance.now() } as BackendEvent)
    for (const effect of effects) this.run(effect)
  }

  async close (): Promise<void> {
    clearInterval(this.announceTimer)
    for (const timer of this.timers) clearTimeout(timer)
    this.timers.clear()
    this.dropConnections()
    this.control.closeAllConnections()
    await Promise.all([closeServer(this.server), closeServer(this.control)])
  }

  private get host (): string {
    return this.options.host ?? '127.0.0.1'
  }

  private accept (req: IncomingMessage, res: ServerResponse, expectsContinue: boolean): void {
    if (this.handleReportEndpoint(req, res)) return
    const id = this.nextId++
    const digest = createHash('sha256')
    let bytes = 0
    this.openRequests.set(id, { req, res, digest })
    res.once('close', () => {
      this.openRequests.delete(id)
      if (!res.writableFinished) this.dispatch({ type: 'requestClosed', id })
    })
    this.dispatch({
      type: 'requestReceived', id, method: req.method!, path: req.url!, headers: req.headers, expectsContinue
    })
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      digest.update(chunk)
    })
    req.on('end', () => { this.dispatch({ type: 'bodyReceived', id, bytes }) })
    req.on('error', () => {})
  }

  /** Responds to probes and to the health and load endpoints, which do not count as requests. */
  private handleReportEndpoint (req: IncomingMessage, res: ServerResponse): boolean {
    if (req.method === 'OPTIONS' && req.url === '*') {
      res.writeHead(204, { 'lavenderturn-boot': this.state.bootId, connection: 'close' }).end()
      return true
    }
    if (req.url !== '/load' && req.url !== '/health') return false
    const report = describeLoadReport(this.state, performance.now())
    res.writeHead(req.url === '/load' || report.healthy ? 200 : 503, { 'content-type': 'application/json' })
    res.end(JSON.stringify(report))
    return true
  }

  private run (effect: BackendEffect): void {
    switch (effect.type) {
      case 'continue':
        this.openRequests.get(effect.id)?.res.writeContinue()
        break
      case 'answer':
        this.answer(effect)
        break
      case 'serve':
        this.startTimer(effect.delayMs, () => { this.dispatch({ type: 'serviceEnded', id: effect.id }) })
        break
      case 'mute':
        // Stops reading and never writes, but keeps the connection open.
        this.openRequests.get(effect.id)?.req.socket.pause()
        break
      case 'announce':
        this.announce(effect.state)
        break
      case 'crash':
        this.crash()
        break
      case 'exit':
        // Lets the response of the last request be sent first.
        setImmediate(() => { void this.close().then(() => this.options.onEnd?.('left')) })
    }
  }

  private answer ({ id, status, headers, fault, bytes }: Extract<BackendEffect, { type: 'answer' }>): void {
    const open = this.openRequests.get(id)
    if (open === undefined) return
    const { req, res, digest } = open
    const body = encodeRunBody(this.state.requests.get(id)!, digest, bytes)
    if (fault === 'truncated') {
      res.writeHead(status, { ...headers, 'content-length': body.length })
      res.write(body.subarray(0, Math.floor(body.length / 2)), () => { req.socket.destroy() })
      return
    }
    if (fault === 'closeDelimited') {
      const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
      req.socket.end(`HTTP/1.1 ${status} OK\r\n${lines}connection: close\r\n\r\n${body.toString()}`)
      return
    }
    if (!req.complete) res.shouldKeepAlive = false
    res.writeHead(status, { ...headers, 'content-type': 'application/json', 'content-length': body.length })
    res.end(body)
  }

  private announce (state: 'serving' | 'draining' | 'leaving'): void {
    const { adminAddress } = this.options
    if (adminAddress === undefined) return
    const { bootId, config: { service, slots } } = this.state
    postAnnouncement(adminAddress, { service, address: this.address, slots, bootId, state })
  }

  private crash (): void {
    const { restartAfterMs, onEnd } = this.options
    this.dropConnections()
    this.server.close(() => {
      if (restartAfterMs === undefined) {
        void this.close().then(() => onEnd?.('crashed'))
        return
      }
      this.startTimer(restartAfterMs, () => {
        void listen(this.server, this.port, this.host).then(() => { this.dispatch({ type: 'restarted' }) })
      })
    })
  }

  private dropConnections (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  private startTimer (delayMs: number, run: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer)
      run()
    }, delayMs)
    this.timers.add(timer)
  }
}

function encodeRunBody (request: BackendRequest, digest: Hash, bytes: number | undefined): Buffer {
  const { path, bodyBytes } = request
  const text = JSON.stringify({ path, bodyBytes, sha256: digest.digest('hex') })
  return bytes === undefined ? Buffer.from(text) : Buffer.from(text.padEnd(bytes, '.'))
}

async function listen (server: Server, port: number, host: string): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

async function closeServer (server: Server): Promise<void> {
  if (!server.listening) return
  await new Promise((resolve) => { server.close(resolve) })
}
