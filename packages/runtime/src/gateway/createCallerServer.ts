import { type Fingerprint, type IdempotencyKey, type KeyHash, type RequestId, toId } from '@lavenderturn/types'
import { createHash, randomUUID } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { readPrefix } from '../readPrefix'
import type { Runtime } from '../Runtime'
import { sendProblem } from '../sendProblem'
import type { GatewayHandler } from './GatewayHandler'

/** Bodies up to this size are held whole, so that an attempt can be sent again. */
const BODY_BUFFER_BYTES = 65_536

/** @public */
export interface CallerServerOptions {
  readonly runtime: Runtime
  readonly handler: GatewayHandler
}

/**
 * Creates the HTTP server for callers.
 *
 * @param options - the runtime that gets the events and the handler that answers
 * @returns the server, not yet listening
 * @public
 */
export function createCallerServer ({ runtime, handler }: CallerServerOptions): Server {
  return createServer((req, res) => {
    acceptRequest({ runtime, handler }, req, res).catch(() => {
      if (!res.headersSent && !res.destroyed) sendProblem(res, { result: 'malformedRequest' })
    })
  })
}

async function acceptRequest (
  { runtime, handler }: CallerServerOptions,
  req: IncomingMessage,
  res: ServerResponse
): Promise<void> {
  const body = await readPrefix(req, BODY_BUFFER_BYTES)
  const requestId = toId<RequestId>(randomUUID())
  const key = readKey(req)
  handler.open({ requestId, req, res, key, body, bodyConsumed: false, aborts: new Map() })
  runtime.dispatch({
    slice: 'gateway',
    type: 'requestArrived',
    requestId,
    method: req.method!,
    path: req.url!.split('?', 1)[0]!,
    keyHash: key === undefined ? undefined : hashKey(key),
    keyInTarget: key !== undefined && req.url!.includes(key),
    bodyBytes: body.complete ? body.bytes.length : readContentLength(req),
    idempotencyKey: readIdempotencyKey(req),
    fingerprint: computeFingerprint(req, key, body.bytes)
  })
}

function readKey (req: IncomingMessage): string | undefined {
  const match = /^Bearer +(\S+)$/i.exec(req.headers.authorization ?? '')
  return match?.[1]
}

/**
 * Hashes a caller's key. A plain hash is enough, because keys are random and long.
 *
 * @param key - the key
 * @returns hex SHA-256
 * @public
 */
export function hashKey (key: string): KeyHash {
  return toId(createHash('sha256').update(key).digest('hex'))
}

function readContentLength (req: IncomingMessage): number | undefined {
  const value = req.headers['content-length']
  return value === undefined ? undefined : Number(value)
}

function readIdempotencyKey (req: IncomingMessage): IdempotencyKey | undefined {
  const value = req.headers['idempotency-key']
  return typeof value === 'string' && value !== '' ? toId(value) : undefined
}

function computeFingerprint (req: IncomingMessage, key: string | undefined, prefix: Buffer): Fingerprint {
  const hash = createHash('sha256')
  hash.update(`${key === undefined ? '' : hashKey(key)}\n${req.method} ${req.url}\n`)
  return toId(hash.update(prefix).digest('hex').slice(0, 32))
}
