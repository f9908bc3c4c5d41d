import type { AttemptResult, SlotRefusal } from '@lavenderturn/mesh'
import type { WholeAnswer } from '../protocol/RequestHead'

/** What an admission gives back to a gateway. @internal */
export interface AttemptReply {
  readonly result: AttemptResult
  /** Present if the backend server answered. */
  readonly answer?: WholeAnswer
}

/** Where a reply goes: to a connection of another node, or to this node's own gateway. @internal */
export abstract class ReplyTarget {
  /** @param reply - the reply */
  abstract send (reply: AttemptReply): void
}

const REFUSALS: ReadonlySet<string> = new Set<SlotRefusal>([
  'closed', 'evacuated', 'suspect', 'wrongService', 'expired', 'full'
])

/**
 * @param result - what became of a request
 * @returns the text that nodes exchange
 * @internal
 */
export function encodeResult (result: AttemptResult): string {
  if (result.kind === 'answered') return result.failed ? 'failed' : 'succeeded'
  return result.kind === 'rejected' ? `rejected:${result.refusal}` : result.kind
}

/**
 * @param text - a text that `encodeResult` has made
 * @returns the result, or undefined if the text is none
 * @internal
 */
export function decodeResult (text: string | undefined): AttemptResult | undefined {
  switch (text) {
    case 'succeeded': return { kind: 'answered', failed: false }
    case 'failed': return { kind: 'answered', failed: true }
    case 'declined':
    case 'unreachable':
    case 'broken': return { kind: text }
  }
  const refusal = text?.startsWith('rejected:') === true ? text.slice('rejected:'.length) : undefined
  if (refusal === undefined || !REFUSALS.has(refusal)) return undefined
  return { kind: 'rejected', refusal: refusal as SlotRefusal }
}
