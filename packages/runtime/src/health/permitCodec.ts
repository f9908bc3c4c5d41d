import { create } from '@bufbuild/protobuf'
import type { PermitAnswer } from '@lavenderturn/decisions'
import { millis } from '@lavenderturn/types'
import { type AskPermitResponse, AskPermitResponseSchema, PermitDenial } from '@lavenderturn/wire'

/**
 * @param message - the owner's message
 * @returns the answer; a message without one counts as a denial
 * @internal
 */
export function decodePermitAnswer ({ answer }: AskPermitResponse): PermitAnswer {
  if (answer.case === 'lifetimeMs') return { kind: 'granted', lifetime: millis(answer.value) }
  const reason = answer.case === 'denial' && answer.value === PermitDenial.FLOOR ? 'floor' : 'unready'
  return { kind: 'denied', reason }
}

/**
 * @param answer - the owner's answer
 * @returns the answer as a protobuf message
 * @internal
 */
export function encodePermitAnswer (answer: PermitAnswer): AskPermitResponse {
  if (answer.kind === 'granted') {
    // Rounded down, so that the permit does not expire at the holder after it expires at the owner.
    return create(AskPermitResponseSchema, { answer: { case: 'lifetimeMs', value: Math.floor(answer.lifetime) } })
  }
  const value = answer.reason === 'floor' ? PermitDenial.FLOOR : PermitDenial.UNREADY
  return create(AskPermitResponseSchema, { answer: { case: 'denial', value } })
}
