import { addMillis, millis } from '@lavenderturn/types'
import { endsBeforeStop } from '../lifecycle/plannedStop'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { AskSlotMessage, SlotRefusal } from '../messages/PeerMessage'
import { findVersionRoom } from '../rollout/findVersionRoom'
import type { SlotAsked } from './AdmissionEvent'
import type { Reservation } from './AdmissionState'
import { countReservations } from './countReservations'
import { isTrialAllowed } from './isTrialAllowed'
import { findLimitDelay, findRequestInterval } from './findLimitDelay'
import { findUnavailableReason } from './findUnavailableReason'
import { refuseReservation, grantQueued } from './grantQueued'
import { summarizeLoad } from './summarizeLoad'
import { describeDeniedTrial } from './suspicion'

/** Reservations that may be queued for each slot. */
const MAX_QUEUED_PER_SLOT = 12

/**
 * Longest wait for a server that has reached its limit. The queue of such a server moves slowly, and a request may wait
 * in two queues only.
 */
const MAX_LIMIT_WAIT = millis(400)

/**
 * Grants, queues or refuses a requested reservation.
 *
 * @param state - the node's state
 * @param event - the slot request
 * @returns effects
 * @internal
 */
export function reserveSlot (state: MeshState, { message }: SlotAsked): MeshEffect[] {
  const { reservations } = state.admission
  // Datagrams may be duplicated.
  if (reservations.has(message.reservation)) return []
  const refusal = findRefusal(state, message)
  if (refusal !== undefined) {
    const denied = { id: message.reservation, gateway: message.replyTo, canRetry: message.canRetry }
    const effects = [refuseReservation(state, denied, refusal)]
    return refusal === 'suspect' ? effects.concat(describeDeniedTrial(state, denied)) : effects
  }
  const reservation = createReservation(state, message)
  reservations.set(reservation.id, reservation)
  const effects = grantQueued(state)
  if (reservation.phase === 'queued' && reservations.has(reservation.id)) {
    const load = summarizeLoad(state)
    effects.push({
      slice: 'peer',
      type: 'send',
      to: message.replyTo,
      message: { kind: 'slot', reservation: reservation.id, verdict: 'queued', load }
    })
  }
  return effects
}

function findRefusal (state: MeshState, message: AskSlotMessage): SlotRefusal | undefined {
  if (message.service !== state.identity.service) return 'wrongService'
  const unavailableReason = findUnavailableReason(state)
  if (unavailableReason !== undefined) return unavailableReason
  if (!endsBeforeStop(state, message.endsInMs ?? Number.POSITIVE_INFINITY)) return 'closed'
  const { admission, now, policies } = state
  const isSuspect = policies.grayFailureDetector.isSuspect(admission.grayFailure, now)
  if (isSuspect && !isTrialAllowed(state, message)) return 'suspect'
  const { queued, slots } = summarizeLoad(state)
  if (queued >= slots * MAX_QUEUED_PER_SLOT) return 'full'
  // A server whose version is not proven gets few requests; others would wait in vain.
  if (queued + countReservations(admission, 'granted') >= findVersionRoom(state)) return 'closed'
  return findLimitDelay(state) + queued * findRequestInterval(admission.server!) > MAX_LIMIT_WAIT ? 'full' : undefined
}

function createReservation ({ now }: MeshState, message: AskSlotMessage): Reservation {
  return {
    id: message.reservation,
    gateway: message.replyTo,
    priority: message.priority,
    repeatable: message.repeatable,
    canRetry: message.canRetry,
    acceptSuspect: message.acceptSuspect,
    gatewayStops: message.senderStops === true,
    askedAt: now,
    expiresAt: addMillis(now, millis(message.waitMs)),
    phase: 'queued',
    isTrial: false
  }
}
