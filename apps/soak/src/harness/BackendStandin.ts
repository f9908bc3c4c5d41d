import { type Address, type DataCentreId, millis, type RequestId, toId } from '@lavenderturn/types'
import { once } from 'node:events'
import { createServer, type IncomingMessage, request, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { SoakProtocol } from '../SoakProtocol'
import type { SoakServer } from '../SoakState'
import { COLD_TIME } from '../soakTimings'

const ANNOUNCE_INTERVAL_MS = 1_000

/** Range of the service time of a request. */
const WORK_MS = { min: 20, max: 120 }

const OK = 200
const INTERNAL_ERROR = 500

/** @public */
export interface BackendStandinOptions {
  readonly server: SoakServer
  readonly dataCentre: DataCentreId
  readonly protocol: SoakProtocol
  /** Port on which the node beside it accepts announcements. */
  readonly announcementPort: number
  readonly onRun: (requestId: RequestId) => void
  readonly onDrainAcknowledged: () => void
}

interface AnnouncementRequest {
  readonly path: string
  readonly body: string
}

/** Backend server of the soak. It runs in the process of the soak, which thus sees each received request. @public */
export class BackendStandin {
  private readonly http: Server
  private state: SoakServer
  private sequence = 0
  private startedAtWall = Date.now()
  private startedAt = Number.NEGATIVE_INFINITY
  /** The latest announcement that the server is ready. */
  private readyAnnouncement: AnnouncementRequest | undefined
  private readonly timer: NodeJS.Timeout

  constructor (private readonly options: BackendStandinOptions) {
    // The reducer of the soak updates its own object in place.
    this.state = { ...options.server }
    this.http = createServer((req, res) => { this.run(req, res) })
    this.timer = setInterval(() => { this.announce() }, ANNOUNCE_INTERVAL_MS)
  }

  /** Starts the server and sends the first announcement. */
  async open (): Promise<void> {
    this.http.listen(0, '127.0.0.1')
    await once(this.http, 'listening')
    this.announce()
  }

  /** @param state - new state of the server */
  setState (state: SoakServer): void {
    const isReplaced = this.state.version !== state.version
    if (state.status === 'ready' && (isReplaced || this.state.status !== 'ready')) {
      this.startedAtWall = Date.now()
      this.startedAt = performance.now()
      this.sequence = 0
    }
    this.state = state
    const isCut = isReplaced && state.isStoppedAbruptly === true
    if (state.status === 'crashed' || isCut) this.http.closeAllConnections()
    else if (isReplaced) this.http.closeIdleConnections()
    if (state.status !== 'crashed') this.announce()
  }

  /** Stops the server and closes its connections. */
  close (): void {
    clearInterval(this.timer)
    this.http.close()
    this.http.closeAllConnections()
  }

  private run (req: IncomingMessage, res: ServerResponse): void {
    if (this.state.status === 'crashed') {
      req.socket.resetAndDestroy()
      return
    }
    const { protocol, onRun } = this.options
    const requestId = protocol.readRequestId(req.headers)
    onRun(toId(requestId))
    req.resume()
    this.answer(res, requestId)
  }

  /**
   * Sends the response after the service time, with an error status for the configured share of requests.
   *
   * @param res - response to write
   * @param requestId - id of the request
   */
  protected answer (res: ServerResponse, requestId: string): void {
    const { protocol } = this.options
    const { errorShare, versionErrorShare } = this.state
    const failed = Math.random() < Math.max(errorShare, versionErrorShare)
    setTimeout(() => {
      if (res.destroyed) return
      const body = `${requestId} ${'x'.repeat(500)}`
      res.writeHead(failed ? INTERNAL_ERROR : OK, {
        ...protocol.composeResponseHeaders(requestId), 'content-length': body.length
      })
      res.end(body)
    }, WORK_MS.min + Math.random() * (WORK_MS.max - WORK_MS.min))
  }

  private announce (): void {
    const { status, drainedAt } = this.state
    if (status === 'crashed') return
    if (status === 'draining' && drainedAt !== undefined) this.repeatReadyAnnouncement()
    else this.sendState(status)
  }

  /** Sends an announcement of earlier once more, as a network does that delivers it late. */
  private repeatReadyAnnouncement (): void {
    if (this.readyAnnouncement !== undefined) this.send(this.readyAnnouncement, () => {})
  }

  private sendState (status: SoakServer['status']): void {
    const { protocol, dataCentre, onDrainAcknowledged } = this.options
    const coldRemaining = millis(Math.max(0, Math.round(this.startedAt + COLD_TIME - performance.now())))
    const announcement = protocol.composeAnnouncement({
      server: this.state,
      address: toId<Address>(`127.0.0.1:${(this.http.address() as AddressInfo).port}`),
      dataCentre,
      startedAtWall: this.startedAtWall,
      sequence: ++this.sequence,
      coldRemaining
    })
    if (status === 'ready') this.readyAnnouncement = announcement
    this.send(announcement, (responseStatus) => {
      const isLeaving = status === 'draining' && this.state.status === 'draining' && this.state.drainedAt === undefined
      if (responseStatus !== OK || !isLeaving) return
      this.state = { ...this.state, drainedAt: millis(0) }
      onDrainAcknowledged()
    })
  }

  private send ({ path, body }: AnnouncementRequest, onResponse: (status: number | undefined) => void): void {
    const { announcementPort: port } = this.options
    const req = request({ host: '127.0.0.1', port, path, method: 'POST', agent: false }, (res) => {
      res.resume()
      onResponse(res.statusCode)
    })
    // The node may be stopped or paused; the next announcement is sent in any case.
    req.on('error', () => {})
    req.end(body)
  }
}
