import { listPeers } from '@lavenderturn/decisions'
import { toId } from '@lavenderturn/types'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { setImmediate } from 'node:timers/promises'
import type { ControlHandler } from '../control/ControlHandler'
import type { Journal } from '../journal/Journal'
import type { JournalPage } from '../journal/JournalRecord'
import type { LifecycleHandler } from '../lifecycle/LifecycleHandler'
import type { Metrics } from '../metrics/Metrics'
import type { PeerTransports } from '../peers/PeerTransports'
import { readPrefix } from '../readPrefix'
import type { Runtime } from '../Runtime'
import { sendProblem } from '../sendProblem'
import { announcementSchema } from './announcementSchema'
import { parseJson, type Route, sendJson } from './adminRoute'
import { collectRevisions } from './collectRevisions'
import { createDeclarationRoutes } from './createDeclarationRoutes'
import { describeStatus } from './describeStatus'
import type { TeamUsage } from './TeamUsage'

/** An announcement is about 150 bytes long. */
const MAX_ANNOUNCEMENT_BYTES = 4_096

/** A chunk takes about a millisecond to write. */
const RECORDS_PER_CHUNK = 200

/** @public */
export interface AdminServerOptions {
  readonly runtime: Runtime
  readonly lifecycle: LifecycleHandler
  readonly journal: Journal
  readonly metrics: Metrics
  readonly usage: TeamUsage
  readonly control: ControlHandler
  readonly peers: PeerTransports
}

/**
 * Creates the server of the admin port. It has no authentication, so it must listen on loopback only.
 *
 * @param options - the parts of the node that the port reports on
 * @returns the server, not yet listening
 * @public
 */
export function createAdminServer (options: AdminServerOptions): Server {
  const routes = createRoutes(options)
  return createServer((req, res) => {
    const route = routes.get(`${req.method} ${req.url!.split('?', 1)[0]}`)
    if (route === undefined) {
      sendProblem({ req, res, result: 'unknownRoute' })
      return
    }
    Promise.resolve(route(req, res)).catch(() => {
      if (!res.headersSent) sendProblem({ req, res, result: 'internal' })
    })
  })
}

function createRoutes (options: AdminServerOptions): ReadonlyMap<string, Route> {
  const { runtime, lifecycle, journal, metrics } = options
  return new Map<string, Route>([
    ['GET /livez', (_, res) => { sendText(res, 200, 'alive') }],
    ['GET /readyz', (_, res) => {
      const isReady = lifecycle.isReady && runtime.query(({ control }) => control.document !== undefined)
      sendText(res, isReady ? 200 : 503, isReady ? 'ready' : 'not ready')
    }],
    ['GET /metrics', async (_, res) => {
      res.setHeader('content-type', metrics.registry.contentType)
      res.end(await metrics.registry.metrics())
    }],
    ['GET /timeline', async (req, res) => {
      const after = Number(new URL(req.url!, 'http://admin').searchParams.get('after') ?? -1)
      await sendPage(res, journal.read(Number.isInteger(after) ? after : -1))
    }],
    ['GET /status', async (_, res) => { sendJson(res, await readStatus(options)) }],
    ...createDeclarationRoutes(options),
    ['POST /announce', async (req, res) => { await receiveAnnouncement(runtime, req, res) }]
  ])
}

async function readStatus ({ runtime, usage, peers }: AdminServerOptions): Promise<object> {
  const status = runtime.query((state) => describeStatus(state, usage))
  const others = runtime.query(listPeers).map(({ record }) => record)
  const revisions = await collectRevisions(peers, others)
  revisions.set(status.node, status.revision)
  return { ...status, members: status.members.map((member) => ({ ...member, revision: revisions.get(member.node) })) }
}

async function receiveAnnouncement (runtime: Runtime, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const { bytes, complete } = await readPrefix({ body: req, limitBytes: MAX_ANNOUNCEMENT_BYTES })
  const parsed = announcementSchema.safeParse(complete ? parseJson(bytes) : undefined)
  if (!parsed.success) {
    const [issue] = parsed.error.issues
    sendProblem({ req, res, result: 'malformedRequest', detail: `${issue?.path.join('.')}: ${issue?.message}` })
    return
  }
  const { service, address, slots, bootId, state } = parsed.data
  runtime.enqueue({
    slice: 'announcement',
    type: 'received',
    service: toId(service),
    address: toId(address),
    slots,
    bootId: toId(bootId),
    state
  })
  res.writeHead(204).end()
}

function sendText (res: ServerResponse, status: number, text: string): void {
  res.writeHead(status, { 'content-type': 'text/plain' }).end(`${text}\n`)
}

/** Writes a page in chunks, because writing 13 MB at once would block the requests of callers. */
async function sendPage (res: ServerResponse, { records, ...page }: JournalPage): Promise<void> {
  res.writeHead(200, { 'content-type': 'application/json' })
  res.write(`${JSON.stringify(page).slice(0, -1)},"records":[`)
  for (let index = 0; index < records.length && !res.destroyed; index += RECORDS_PER_CHUNK) {
    const chunk = records.slice(index, index + RECORDS_PER_CHUNK).map((record) => JSON.stringify(record)).join()
    res.write(index === 0 ? chunk : `,${chunk}`)
    await setImmediate()
  }
  res.end(']}')
}
