import { millis, type Millis } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'
import { COLD_WINDOW } from './admissionTimings'
import { countPhases } from './countPhases'

/** Requests of the bound that are left out, for clocks that are not quite in step. */
const BOUND_MARGIN = 2

/**
 * Tells how long the next request has to wait so that the server, should it be cold, gets no more than it bears.
 * The bound holds at all times: a server may have turned cold without a sign.
 *
 * @param state - the node's state
 * @returns 0 if a request may be sent now
 * @internal
 */
export function findColdWait (state: MeshState): Millis {
  const { admission, now } = state
  const times = admission.dispatchTimes
  while (times.length > 0 && now - times[0]! >= COLD_WINDOW) times.shift()
  const allowed = countAllowed(state)
  if (times.length + countPhases(admission, 'granted') < allowed) return millis(0)
  const oldest = times[0] ?? now
  return millis(Math.max(1, oldest + COLD_WINDOW - now))
}

function countAllowed ({ admission, bounds, configuration, identity, now }: MeshState): number {
  const coldRate = configuration.current?.services.get(identity.service)?.coldRatePerSecond ?? 0
  if (coldRate === 0) return Number.POSITIVE_INFINITY
  const isCold = now < (admission.server?.coldUntil ?? 0)
  if (isCold) return Math.max(1, Math.floor(coldRate))
  return Math.max(1, Math.floor(coldRate * bounds.coldOver + bounds.coldSlack) - BOUND_MARGIN)
}
