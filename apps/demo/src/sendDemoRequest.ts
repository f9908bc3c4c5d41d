import { createHash, randomUUID } from 'node:crypto'
import { type Agent, type IncomingMessage, request } from 'node:http'
import { Readable } from 'node:stream'
import { setTimeout as delay } from 'node:timers/promises'
import type { RequestOutcome } from './DemoPlan'
import { type DemoTeam, UPLOAD_BYTES } from './demoTraffic'

/** Uploads are sent in chunks of this size, so that they take some time. */
const CHUNK_BYTES = 65_536

const upload = Buffer.alloc(UPLOAD_BYTES, 'lavenderturn demo ')
const uploadDigest = createHash('sha256').update(upload).digest('hex')

/** @internal */
export interface DemoRequest {
  readonly address: string
  readonly team: DemoTeam
  readonly kind: RequestOutcome['kind']
  readonly agent: Agent
  /** Pause between two chunks of an upload. */
  readonly chunkPauseMs?: number
}

const PATHS = { lookup: '/stock/', reservation: '/bookings/', upload: '/photos/' } as const

/** Thrown if the node does not accept the connection, so that nothing was sent. @internal */
export class NodeUnavailableError extends Error {
  override readonly name = 'NodeUnavailableError'
}

/**
 * Sends one request and checks that the response is complete and belongs to it.
 *
 * @param options - node, team and kind of request
 * @returns the outcome
 * @throws NodeUnavailableError if the node does not accept the connection; the caller can use another node
 * @internal
 */
export async function sendDemoRequest (options: DemoRequest): Promise<RequestOutcome> {
  const { team, kind } = options
  const startedAt = performance.now()
  const path = `${PATHS[kind]}${randomUUID()}`
  const { result, detail } = await sendAndClassify(options, path)
  return { team: team.id, kind, latencyMs: performance.now() - startedAt, result, detail }
}

type RequestResult = Pick<RequestOutcome, 'detail' | 'result'>

async function sendAndClassify (options: DemoRequest, path: string): Promise<RequestResult> {
  const { address, team, kind, agent } = options
  const [host, port] = address.split(':')
  return await new Promise((resolve, reject) => {
    const req = request({
      host,
      port,
      path,
      agent,
      method: kind === 'lookup' ? 'GET' : 'POST',
      headers: {
        authorization: `Bearer ${team.key}`,
        ...(kind === 'lookup' ? {} : { 'idempotency-key': randomUUID() }),
        ...(kind === 'upload' ? { 'content-length': UPLOAD_BYTES } : {})
      }
    })
    req.on('error', (err: NodeJS.ErrnoException) => {
      if (err.syscall === 'connect') reject(new NodeUnavailableError(err.message))
      else resolve({ result: 'cut', detail: err.message })
    })
    req.on('response', (res) => { void readAnswer(res).then((body) => { resolve(classifyResponse(options, path, res, body)) }) })
    if (kind === 'upload') Readable.from(readUpload(options.chunkPauseMs ?? 0)).pipe(req)
    else req.end()
  })
}

async function readAnswer (res: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of res) chunks.push(chunk as Buffer)
    return Buffer.concat(chunks).toString()
  } catch {
    return undefined
  }
}

function classifyResponse (
  { kind }: DemoRequest,
  path: string,
  { statusCode }: IncomingMessage,
  body: string | undefined
): RequestResult {
  if (body === undefined) return { result: 'cut', detail: 'the answer broke off' }
  if (statusCode !== 200) return { result: 'refused', detail: `${statusCode} ${body}` }
  const run = JSON.parse(body) as { readonly path: string, readonly sha256: string }
  const isOwn = run.path === path && (kind !== 'upload' || run.sha256 === uploadDigest)
  return isOwn ? { result: 'answered' } : { result: 'wrong', detail: body }
}

/** Yields the upload in chunks, with a pause after each. */
async function * readUpload (pauseMs: number): AsyncGenerator<Buffer> {
  for (let offset = 0; offset < upload.length; offset += CHUNK_BYTES) {
    yield upload.subarray(offset, offset + CHUNK_BYTES)
    if (pauseMs > 0) await delay(pauseMs)
  }
}
