import { millis, type Millis, toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { SlotRefusal } from '../messages/PeerMessage'
import { GRANT_TIMEOUT, TRIAL_TIMEOUT } from './admissionTimings'
import type { Reservation } from './AdmissionState'
import { countReservations } from './countReservations'
import { findVersionRoom } from '../rollout/findVersionRoom'
import { findUnavailableReason } from './findUnavailableReason'
import { findDispatchDelay } from './findDispatchDelay'
import { isTrialAllowed } from './isTrialAllowed'
import { summarizeLoad } from './summarizeLoad'
import { recordTrial } from './suspicion'

/**
 * Requests at a time while an earlier process may have learned of a limit that this process does not know. Few enough
 * for a server with a low limit, whose requests before the restart count as well.
 */
const MAX_WORK_WITHOUT_RESPONSE = 2

/**
 * Grants free slots to queued reservations in order of priority, then those of stopping gateways, then by arrival.
 *
 * @param state - the node's state
 * @returns effects
 * @internal
 */
export function grantQueued (state: MeshState): MeshEffect[] {
  const { admission } = state
  const effects: MeshEffect[] = []
  if (findUnavailableReason(state) !== undefined) return effects
  const { slots: allSlots, isLimitKnown } = admission.server!
  const slots = isLimitKnown ? allSlots : Math.min(allSlots, MAX_WORK_WITHOUT_RESPONSE)
  let used = countReservations(admission, 'granted', 'running')
  let room = findVersionRoom(state) - countReservations(admission, 'granted')
  while (used < slots && room > 0) {
    const next = findMostUrgent(state, effects)
    if (next === undefined) break
    const delay = findDispatchDelay(state)
    if (delay > 0) {
      effects.push(scheduleQueueCheck(delay))
      break
    }
    effects.push(...grantSlot(state, next))
    used += 1
    room -= 1
  }
  return effects
}

/**
 * Tells a gateway that its reservation is refused.
 *
 * @param state - the node's state
 * @param reservation - the reservation
 * @param refusal - the reason
 * @returns the datagram to send
 * @internal
 */
export function refuseReservation (
  state: MeshState,
  { id, gateway }: Pick<Reservation, 'id' | 'gateway'>,
  refusal: SlotRefusal
): MeshEffect {
  state.admission.refusedSinceDispatch += 1
  const load = summarizeLoad(state)
  return {
    slice: 'peer',
    type: 'send',
    to: gateway,
    message: { kind: 'slot', reservation: id, verdict: 'refused', refusal, load }
  }
}

function scheduleQueueCheck (delay: Millis): MeshEffect {
  const event = { slice: 'admission', type: 'queueDue' } as const
  return { slice: 'timer', type: 'set', id: toId('admission/queue'), delay, event }
}

function findMostUrgent (state: MeshState, effects: MeshEffect[]): Reservation | undefined {
  const { admission, now, policies } = state
  const isSuspect = policies.grayFailureDetector.isSuspect(admission.grayFailure, now)
  let best: Reservation | undefined
  for (const reservation of admission.reservations.values()) {
    if (reservation.phase !== 'queued') continue
    if (now >= reservation.expiresAt) {
      admission.reservations.delete(reservation.id)
      effects.push(refuseReservation(state, reservation, 'expired'))
      continue
    }
    if (isSuspect && !isTrialAllowed(state, reservation)) continue
    if (best === undefined || isMoreUrgent(reservation, best)) best = reservation
  }
  return best
}

/** Among equal priorities, requests of gateways that stop come first: a run that begins late is cut by their end. */
function isMoreUrgent (reservation: Reservation, other: Reservation): boolean {
  if (reservation.priority !== other.priority) return reservation.priority < other.priority
  return reservation.gatewayStops && !other.gatewayStops
}

function grantSlot (state: MeshState, reservation: Reservation): MeshEffect[] {
  const { admission, now, policies } = state
  reservation.phase = 'granted'
  reservation.isTrial = policies.grayFailureDetector.isSuspect(admission.grayFailure, now)
  if (reservation.isTrial && !reservation.acceptSuspect) admission.nextTrialAt = millis(now + TRIAL_TIMEOUT)
  const { id, gateway } = reservation
  const load = summarizeLoad(state)
  return [
    ...reservation.isTrial ? [recordTrial(state, reservation)] : [],
    { slice: 'peer', type: 'send', to: gateway, message: { kind: 'slot', reservation: id, verdict: 'granted', load } },
    {
      slice: 'timer',
      type: 'set',
      id: toId(`grant/${id}`),
      delay: GRANT_TIMEOUT,
      event: { slice: 'admission', type: 'grantExpired', reservation: id }
    }
  ]
}
