import type { LoadSummary, PeerMessage } from '@lavenderturn/mesh'
import { decodeHeartbeat } from './decodeHeartbeat'
import { peerMessageSchema } from './peerMessageSchema'

type Kind = PeerMessage['kind']
type Message<Name extends Kind> = Extract<PeerMessage, { readonly kind: Name }>

/**
 * Fields of each message in the order in which they are sent. Field names are not sent, because traffic between data
 * centres is billed and heartbeats are the most frequent messages. New fields must be appended to their list.
 */
const FIELDS: { readonly [Name in Kind]: ReadonlyArray<Exclude<keyof Message<Name>, 'kind'>> } = {
  askConfirmation: ['query', 'replyTo'],
  askSlot: [
    'reservation', 'replyTo', 'service', 'priority', 'repeatable', 'canRetry', 'acceptSuspect', 'waitMs', 'senderStops',
    'endsInMs'
  ],
  askToken: ['grant', 'node', 'replyTo', 'team'],
  beat: ['node', 'boot', 'load', 'revision', 'leaving', 'hearsReceiver'],
  cancel: ['reservation'],
  confirmation: ['query', 'node', 'following', 'revision', 'version', 'ageMs', 'evacuated', 'era', 'rollouts'],
  crash: ['fingerprint', 'endpoint', 'startedAt'],
  hello: ['node', 'boot', 'dataCentre', 'service', 'peerAddress', 'forwardAddress', 'wantsReply', 'revision'],
  recall: ['reservation', 'replyTo'],
  recalled: ['reservation', 'attemptState'],
  release: ['reservation'],
  rolloutEvidence: [
    'node', 'boot', 'service', 'term', 'version', 'ready', 'dispatched', 'running', 'sentAt', 'routes'
  ],
  rolloutStep: [
    'replyTo', 'service', 'to', 'duration', 'era', 'version', 'phase', 'term', 'step', 'allowance', 'echo'
  ],
  slot: ['reservation', 'verdict', 'refusal', 'load'],
  started: ['reservation'],
  token: ['grant', 'granted', 'waitMs']
}

const LOAD_FIELDS: ReadonlyArray<keyof LoadSummary> = [
  'open', 'slots', 'used', 'queued', 'suspect', 'errorRate', 'serviceMs', 'dueMs', 'limitDelayMs'
]

/**
 * @param message - the message to encode
 * @returns the content of the datagram
 * @internal
 */
export function encodePeerMessage (message: PeerMessage): string {
  const values = message as unknown as Readonly<Record<string, unknown>>
  const encoded = FIELDS[message.kind].map((name) => {
    return name === 'load' ? encodeLoad(values.load as LoadSummary) : values[name]
  })
  while (encoded.length > 0 && encoded.at(-1) === undefined) encoded.pop()
  return JSON.stringify([message.kind, ...encoded])
}

/** Omits the delay of servers without a limit, which are nearly all. */
function encodeLoad (load: LoadSummary): unknown[] {
  const fields = load.limitDelayMs === 0 ? LOAD_FIELDS.slice(0, -1) : LOAD_FIELDS
  return fields.map((field) => load[field])
}

/**
 * @param data - the content of a datagram
 * @returns the message, or undefined if the datagram is malformed
 * @internal
 */
export function decodePeerMessage (data: Buffer): PeerMessage | undefined {
  const values = parseArray(data)
  const kind = values?.[0]
  if (values === undefined || typeof kind !== 'string' || !Object.hasOwn(FIELDS, kind)) return undefined
  if (kind === 'beat') return decodeHeartbeat(values)
  const message: Record<string, unknown> = { kind }
  FIELDS[kind as Kind].forEach((name, index) => {
    const value = values[index + 1] ?? undefined
    message[name] = name === 'load' ? decodeLoad(value) : value
  })
  const parsed = peerMessageSchema.safeParse(message)
  // The schema checks the shape; brands exist only at compile time.
  return parsed.success ? parsed.data as unknown as PeerMessage : undefined
}

function decodeLoad (value: unknown): unknown {
  if (!Array.isArray(value)) return value
  return Object.fromEntries(LOAD_FIELDS.map((name, index) => [name, value[index]]))
}

function parseArray (data: Buffer): unknown[] | undefined {
  try {
    const value: unknown = JSON.parse(data.toString())
    return Array.isArray(value) ? value : undefined
  } catch {
    // Datagrams from unknown senders may have any content; the caller counts malformed ones.
    return undefined
  }
}
