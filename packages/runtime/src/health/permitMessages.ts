import { create } from '@bufbuild/protobuf'
import type { PermitAnswer } from '@lavenderturn/decisions'
import { millis } from '@lavenderturn/types'
import { type AskPermitResponse, AskPermitResponseSchema, PermitDenial } from '@lavenderturn/wire'

/**
 * @param message - the owner's message
 * @returns its answer; a message without one counts as a denial
 * @internal
 */
export function readPermitAnswer ({ answer }: AskPermitResponse): PermitAnswer {
  if (answer.case === 'lifetimeMs') return { kind: 'granted', lifetime: millis(answer.value) }
  const reason = answer.case === 'denial' && answer.value === PermitDenial.FLOOR ? 'floor' : 'unready'
  return { kind: 'denied', reason }
}

/**
 * @param answer - the owner's answer
 * @returns its message
 * @internal
 */
export function writePermitAnswer (answer: PermitAnswer): AskPermitResponse {
  if (answer.kind === 'granted') {
    // Rounded down: the holder must not count on more than the owner has given.
    return create(AskPermitResponseSchema, { answer: { case: 'lifetimeMs', value: Math.floor(answer.lifetime) } })
  }
  const value = answer.reason === 'floor' ? PermitDenial.FLOOR : PermitDenial.UNREADY
  return create(AskPermitResponseSchema, { answer: { case: 'denial', value } })
}
