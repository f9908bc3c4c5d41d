import { addMillis, type Millis, millis } from '@lavenderturn/types'
import { DEFAULT_SERVICE_MS } from '../admission/admissionTimings'
import type { Bounds } from '../Bounds'
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
  return stopRequestedAt === undefined ? undefined : findProcessEnd(bounds, stopRequestedAt)
}

/**
 * @param bounds - the bounds of the deployment
 * @param stopRequestedAt - when the planned stop of a node was requested
 * @returns when its process ends at the latest
 * @internal
 */
export function findProcessEnd ({ grace }: Bounds, stopRequestedAt: Millis): Millis {
  return addMillis(stopRequestedAt, millis(grace - SHUTDOWN_RESERVE))
}

/**
 * Decides whether a request can run at a server before its node's process ends because of a planned stop. Its own
 * deadline counts, so that no run is cut, whatever it takes.
 *
 * @param state - the state of the node beside the server
 * @param remainingMs - time until the deadline of the request
 * @returns whether it ends in time; always without a planned stop
 * @internal
 */
export function endsBeforeStop (state: MeshState, remainingMs: number): boolean {
  const stopTime = findStopTime(state)
  return stopTime === undefined || state.now + remainingMs <= stopTime
}

/**
 * Decides whether the backend server of a stopping node gets no new work any more. It is needed for as long as the
 * process runs anyway, and its last runs should end by the time at which callers have noticed the stop.
 *
 * @param state - the node's state
 * @returns whether its admission closes
 * @internal
 */
export function isAdmissionOver (state: MeshState): boolean {
  const { admission: { serviceMs }, lifecycle: { stopRequestedAt }, now } = state
  const usualMs = serviceMs === 0 ? DEFAULT_SERVICE_MS : serviceMs
  return stopRequestedAt !== undefined && now >= stopRequestedAt + READINESS_PROPAGATION_TIME - usualMs
}
