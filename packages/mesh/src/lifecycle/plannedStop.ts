import { addMillis, type Millis, millis } from '@lavenderturn/types'
import { DEFAULT_SERVICE_MS, OVERDUE_FACTOR } from '../admission/admissionTimings'
import type { MeshState } from '../MeshState'

/** Time that callers need to notice that the node is not ready: two health checks a second apart, and some slack. */
export const READINESS_PROPAGATION_TIME = millis(2_800)

/** Part of the grace period that is reserved for ending the process. */
const SHUTDOWN_RESERVE = millis(500)

/** When a request that is refused during a planned stop may come back: the next process is ready about then. */
export const RETRY_AFTER_STOP = millis(1_000)

/**
 * Decides whether new requests are refused because the node stops. Callers have noticed by then; a request that is
 * taken later may not end before the process does.
 *
 * @param state - the node's state
 * @returns whether new requests are refused
 * @internal
 */
export function isRefusingRequests ({ lifecycle: { stopRequestedAt }, now }: MeshState): boolean {
  return stopRequestedAt !== undefined && now - stopRequestedAt >= READINESS_PROPAGATION_TIME
}

/**
 * Finds when the process ends at the latest because of a planned stop.
 *
 * @param state - the node's state
 * @returns the time, or undefined without a planned stop
 * @internal
 */
export function findStopTime ({ bounds, lifecycle: { stopRequestedAt } }: MeshState): Millis | undefined {
  return stopRequestedAt === undefined ? undefined : addMillis(stopRequestedAt, millis(bounds.grace - SHUTDOWN_RESERVE))
}

/**
 * Finds when the admission of a stopping node closes. Its server is needed for as long as the process runs anyway, but
 * its last runs should end by the time at which callers have noticed, and none may be cut by the end of the process.
 *
 * @param state - the node's state
 * @returns the time, or undefined without a planned stop
 * @internal
 */
export function findAdmissionEnd (state: MeshState): Millis | undefined {
  const { admission: { routeTimes }, lifecycle: { stopRequestedAt } } = state
  const stopTime = findStopTime(state)
  if (stopRequestedAt === undefined || stopTime === undefined) return undefined
  const usualMs = routeTimes.size === 0 ? DEFAULT_SERVICE_MS : Math.max(...routeTimes.values())
  return millis(Math.min(
    stopRequestedAt + READINESS_PROPAGATION_TIME - usualMs, stopTime - usualMs * OVERDUE_FACTOR
  ))
}
