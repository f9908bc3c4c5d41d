import { millis, toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { SlotRefusal } from '../messages/PeerMessage'
import { GRANT_LIFETIME, TRIAL_TIMEOUT } from './admissionTimings'
import type { Reservation } from './AdmissionState'
import { countPhases } from './countPhases'
import { findClosure } from './findClosure'
import { findColdWait } from './findColdWait'
import { summarizeLoad } from './summarizeLoad'

/**
 * Grants slots to queued reservations, the most urgent first.
 *
 * @param state - the node's state
 * @returns effects
 * @internal
 */
export function startQueued (state: MeshState): MeshEffect[] {
  const { admission } = state
  const effects: MeshEffect[] = []
  if (findClosure(state) !== undefined) return effects
  const slots = admission.server!.slots
  let used = countPhases(admission, 'granted', 'running')
  while (used < slots) {
    const next = findMostUrgent(state, effects)
    if (next === undefined) break
    const wait = findColdWait(state)
    if (wait > 0) {
      effects.push(scheduleQueue(wait))
      break
    }
    effects.push(...grant(state, next))
    used += 1
  }
  return effects
}

/**
 * Tells a gateway the verdict on its reservation.
 *
 * @param state - the node's state
 * @param reservation - the reservation
 * @param refusal - why it is refused
 * @returns the datagram
 * @internal
 */
export function refuseReservation (
  state: MeshState,
  { id, gateway }: Pick<Reservation, 'id' | 'gateway'>,
  refusal: SlotRefusal
): MeshEffect {
  const load = summarizeLoad(state)
  return {
    slice: 'peer',
    type: 'send',
    to: gateway,
    message: { kind: 'slot', reservation: id, verdict: 'refused', refusal, load }
  }
}

function scheduleQueue (delay: ReturnType<typeof findColdWait>): MeshEffect {
  const event = { slice: 'admission', type: 'queueDue' } as const
  return { slice: 'timer', type: 'set', id: toId('admission/queue'), delay, event }
}

function findMostUrgent (state: MeshState, effects: MeshEffect[]): Reservation | undefined {
  const { admission, now, policies } = state
  const suspect = policies.grayDetection.isSuspect(admission.gray, now)
  let best: Reservation | undefined
  for (const reservation of admission.reservations.values()) {
    if (reservation.phase !== 'queued') continue
    if (now >= reservation.expiresAt) {
      admission.reservations.delete(reservation.id)
      effects.push(refuseReservation(state, reservation, 'expired'))
      continue
    }
    if (suspect && !mayTry(state, reservation)) continue
    if (best === undefined || reservation.priority < best.priority) best = reservation
  }
  return best
}

/** A suspect server is tried out by one request at a time that may be repeated. */
function mayTry ({ admission, now }: MeshState, { force, canRetry }: Reservation): boolean {
  return force || (canRetry && now >= admission.nextTrialAt)
}

function grant (state: MeshState, reservation: Reservation): MeshEffect[] {
  const { admission, now, policies } = state
  reservation.phase = 'granted'
  reservation.trial = policies.grayDetection.isSuspect(admission.gray, now)
  if (reservation.trial && !reservation.force) admission.nextTrialAt = millis(now + TRIAL_TIMEOUT)
  const { id, gateway } = reservation
  const load = summarizeLoad(state)
  return [
    { slice: 'peer', type: 'send', to: gateway, message: { kind: 'slot', reservation: id, verdict: 'granted', load } },
    {
      slice: 'timer',
      type: 'set',
      id: toId(`grant/${id}`),
      delay: GRANT_LIFETIME,
      event: { slice: 'admission', type: 'grantExpired', reservation: id }
    }
  ]
}
