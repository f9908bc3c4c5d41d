import type { AttemptResult, SlotRefusal } from '@lavenderturn/mesh'
import type { Answer } from '../protocol/RequestHead'

/** Result of an attempt, sent from an admission to a gateway. @internal */
export interface AttemptReply {
  readonly result: AttemptResult
  /** Present if the backend server responded. */
  readonly answer?: Answer
}

/** Destination of a reply: a connection from another node, or this node's own gateway. @internal */
export abstract class ReplyTarget {
  /** Whether the target frees the body of the response; otherwise it is kept in case that the connection is lost. */
  abstract readonly ownsAnswer: boolean

  /** @param reply - the reply to send */
  abstract send (reply: AttemptReply): void
}

const SLOT_REFUSALS: ReadonlySet<string> = new Set<SlotRefusal>([
  'closed', 'evacuated', 'suspect', 'wrongService', 'expired', 'full'
])

/**
 * @param result - result of an attempt
 * @returns its encoding in the header `forwardHeaders.result`
 * @internal
 */
export function encodeAttemptResult (result: AttemptResult): string {
  if (result.kind === 'answered') return result.failed ? 'failed' : 'succeeded'
  return result.kind === 'rejected' ? `rejected:${result.refusal}` : result.kind
}

/**
 * @param text - a value encoded by `encodeAttemptResult`
 * @returns the result, or undefined if the value is not valid
 * @internal
 */
export function decodeAttemptResult (text: string | undefined): AttemptResult | undefined {
  switch (text) {
    case 'succeeded': return { kind: 'answered', failed: false }
    case 'failed': return { kind: 'answered', failed: true }
    case 'declined':
    case 'unreachable':
    case 'broken': return { kind: text }
  }
  const refusal = text?.startsWith('rejected:') === true ? text.slice('rejected:'.length) : undefined
  if (refusal === undefined || !SLOT_REFUSALS.has(refusal)) return undefined
  return { kind: 'rejected', refusal: refusal as SlotRefusal }
}
