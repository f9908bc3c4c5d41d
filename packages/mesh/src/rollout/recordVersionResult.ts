import { millis } from '@lavenderturn/types'
import type { WorkOutcome } from '../admission/AdmissionEvent'
import type { Reservation, Work } from '../admission/AdmissionState'
import type { MeshState } from '../MeshState'
import { isFinal } from './RolloutOrder'
import { createRouteEvidence, findBucket, type RouteEvidence } from './RouteEvidence'

/** Time after which an aborted request counts by the time that it took. Earlier, its caller has just given up. */
const MIN_ABORTED_TIME = millis(1_000)

/**
 * Counts a request that is passed on to the backend server.
 *
 * @param state - the node's state
 * @internal
 */
export function recordExposure (state: MeshState): void {
  if (isObserved(state)) state.rollout.exposure.dispatched += 1
}

/**
 * Records the result of a request as evidence about the server's version. A server that was cold when the request began
 * is slow whatever its version, and trials of a suspect server tell about its gray failure.
 *
 * @param state - the node's state
 * @param reservation - the reservation of the request
 * @param result - how it ended, and whether a failed call of the server's own is the likely cause
 * @internal
 */
export function recordVersionResult (
  state: MeshState,
  { isTrial, work }: Reservation,
  { outcome, isCausedByCall }: { readonly outcome: WorkOutcome, readonly isCausedByCall: boolean }
): void {
  if (!isObserved(state) || isTrial || work === undefined) return
  if (work.isColdStart || work.server !== state.admission.server) return
  const elapsedMs = state.now - work.startedAt
  const evidence = findOrCreateEvidence(state, work)
  switch (outcome.kind) {
    case 'answered':
      if (!outcome.failed) evidence.times[findBucket(elapsedMs)]! += 1
      else if (!isCausedByCall) evidence.failed += 1
      break
    case 'broken':
      evidence.failed += 1
      break
    case 'aborted':
      if (elapsedMs >= MIN_ABORTED_TIME) evidence.times[findBucket(elapsedMs)]! += 1
      break
    case 'declined':
    case 'unreachable':
  }
}

function isObserved ({ identity, rollout }: MeshState): boolean {
  const current = rollout.rollouts.get(identity.service)
  return current !== undefined && !isFinal(current.phase)
}

function findOrCreateEvidence ({ rollout: { exposure } }: MeshState, { route }: Work): RouteEvidence {
  const existing = exposure.evidence.get(route)
  if (existing !== undefined) return existing
  const created = createRouteEvidence()
  exposure.evidence.set(route, created)
  return created
}
