import {
  type Fingerprint, type IdempotencyKey, type KeyHash, type Millis, millis, type RequestId, toId
} from '@lavenderturn/types'
import { createHash, randomUUID } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { closeIdleAfterReading } from '../connection/closeIdleAfterReading'
import { ConnectionResponses } from '../connection/ConnectionResponses'
import { hasForwardableHeaders } from '../exchange/hasForwardableHeaders'
import { handleMalformedRequests } from '../handleMalformedRequests'
import { hasSupportedTransferCoding } from '../hasSupportedTransferCoding'
import { headers } from '../headers'
import type { ExchangeCounter } from '../lifecycle/ExchangeCounter'
import { type BodyPrefix, readPrefix } from '../readPrefix'
import type { Runtime } from '../Runtime'
import { sendProblem } from '../sendProblem'
import type { GatewayHandler } from './GatewayHandler'
import { isUnambiguousTarget } from './isUnambiguousTarget'
import { listKeyEncodings, targetContainsSecret } from './listKeyEncodings'

/** Bodies up to this size are buffered completely, so that they can be replayed on a retry. */
const MAX_BUFFERED_BODY_BYTES = 65_536

/** Maximum time without data while the first part of a body is read. */
const BODY_IDLE_TIMEOUT_MS = 30_000

/** Idle timeout of caller connections. Node announces it to callers in the `keep-alive` header. */
export const CALLER_KEEP_ALIVE_MS = 5_000

/** @public */
export interface CallerServerOptions {
  readonly runtime: Runtime
  readonly handler: GatewayHandler
  /** Counts open exchanges for a planned stop. */
  readonly counter?: ExchangeCounter
}

/**
 * Creates the HTTP server for callers.
 *
 * @param options - the runtime that reduces the events, and the handler that sends the answers
 * @returns the server, not yet listening
 * @public
 */
export function createCallerServer ({ runtime, handler, counter }: CallerServerOptions): Server {
  // Uploads may take arbitrarily long, so there is no timeout for the whole request.
  const server = createServer({
    keepAliveTimeout: CALLER_KEEP_ALIVE_MS,
    requestTimeout: 0,
    insecureHTTPParser: false,
    // `isWellFormed` checks the host header instead, so that the answer has problem details.
    requireHostHeader: false
  }, (req, res) => {
    if (!ConnectionResponses.of(req.socket).add(res)) return
    counter?.track(res)
    acceptRequest({ runtime, handler }, req, res).catch((err: unknown) => {
      if (!res.headersSent && !res.destroyed) sendProblem({ req, res, result: 'internal' })
      // The state may be inconsistent, so the process ends, as it does after an error in a timer.
      setImmediate(() => { throw err })
    })
  })
  handleMalformedRequests(server, handler)
  closeIdleAfterReading(server)
  return server
}

async function acceptRequest (
  { runtime, handler }: CallerServerOptions,
  req: IncomingMessage,
  res: ServerResponse
): Promise<void> {
  const requestId = toId<RequestId>(randomUUID())
  if (!isWellFormed(req)) {
    sendProblem({ req, res, result: 'malformedRequest', requestId })
    return
  }
  const body = await readPrefix({
    body: req, limitBytes: MAX_BUFFERED_BODY_BYTES, idleTimeoutMs: BODY_IDLE_TIMEOUT_MS
  }).catch(() => undefined)
  if (body === undefined) {
    if (!res.destroyed) sendProblem({ req, res, result: 'malformedRequest', requestId })
    return
  }
  const key = readKey(req)
  const keyHash = key === undefined ? undefined : hashKey(key)
  const secrets = listKeyEncodings(key)
  handler.addExchange({ requestId, req, res, secrets, body, bodyConsumed: false, attempts: new Map() })
  runtime.dispatch({
    slice: 'gateway',
    type: 'requestArrived',
    requestId,
    method: req.method!,
    path: req.url!.split('?', 1)[0]!,
    keyHash,
    keyInTarget: targetContainsSecret(req.url!, secrets),
    bodyBytes: measureBody(req, body),
    idempotencyKey: readIdempotencyKey(req),
    fingerprint: computeFingerprint({ req, owner: findFingerprintOwner(runtime, keyHash), prefix: body.bytes }),
    timeout: readTimeout(req)
  })
}

function isWellFormed (req: IncomingMessage): boolean {
  const { url, headersDistinct, httpVersion } = req
  // Transfer codings other than `chunked` would be lost, because each connection has its own framing.
  if (!hasSupportedTransferCoding(req) || !hasForwardableHeaders(req.rawHeaders)) return false
  // Node silently keeps only the first of several `authorization` headers.
  if ((headersDistinct.authorization?.length ?? 0) > 1) return false
  const hosts = headersDistinct.host?.length ?? 0
  return isUnambiguousTarget(url!) && (hosts === 1 || (hosts === 0 && httpVersion === '1.0'))
}

function readKey (req: IncomingMessage): string | undefined {
  const match = /^Bearer +(\S+) *$/i.exec(req.headers.authorization ?? '')
  return match?.[1]
}

/**
 * Hashes a caller's key. An unsalted hash is sufficient, because keys are long and random.
 *
 * @param key - the key
 * @returns hex SHA-256
 * @public
 */
export function hashKey (key: string): KeyHash {
  return toId(createHash('sha256').update(key).digest('hex'))
}

/**
 * @param req - the request
 * @param body - the part of its body that has been read
 * @returns the size of the body, or a lower bound while it is unknown
 */
function measureBody (req: IncomingMessage, body: BodyPrefix): number {
  const declared = req.headers['content-length']
  return declared === undefined || body.complete ? body.bytes.length : Number(declared)
}

function readIdempotencyKey (req: IncomingMessage): IdempotencyKey | undefined {
  const value = req.headers['idempotency-key']
  return typeof value === 'string' && value !== '' ? toId(value) : undefined
}

function readTimeout (req: IncomingMessage): Millis | undefined {
  const value = req.headers[headers.deadline]
  return typeof value === 'string' && /^\d{1,9}$/.test(value) ? millis(Number(value)) : undefined
}

function findFingerprintOwner (runtime: Runtime, keyHash: KeyHash | undefined): string {
  if (keyHash === undefined) return ''
  // A team may resend a request with another of its keys; the fingerprint must stay the same.
  return runtime.query(({ control }) => control.document?.findTeamByKey(keyHash)) ?? keyHash
}

interface FingerprintOptions {
  readonly req: IncomingMessage
  readonly owner: string
  readonly prefix: Buffer
}

function computeFingerprint ({ req, owner, prefix }: FingerprintOptions): Fingerprint {
  const hash = createHash('sha256').update(`${owner}\n${req.method} ${req.url}\n`)
  // The prefix can be longer by part of a chunk, and chunk boundaries differ between resends of a request.
  return toId(hash.update(prefix.subarray(0, MAX_BUFFERED_BODY_BYTES)).digest('hex').slice(0, 32))
}
