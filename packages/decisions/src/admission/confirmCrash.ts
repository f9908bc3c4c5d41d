import { describeLoad } from '../health/describeLoad'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { isSuspect } from '../quarantine/isQuarantined'
import { raise } from '../raise'
import type { LocalServer, Work } from './AdmissionState'

/**
 * Handles the crash of a backend server. Every request that was in flight there is suspected of having caused it.
 *
 * @param state - the node's state
 * @param server - the backend server, still with the boot id from before the crash
 * @returns effects
 * @internal
 */
export function confirmCrash (state: NodeState, server: LocalServer): NodeEffect[] {
  const failed = failBrokenWork(state, server, true)
  const suspects = [...failed.suspects, ...listDispatchedWork(state, server)]
  if (suspects.length === 0) return failed.effects
  return [
    raise({
      slice: 'quarantine',
      type: 'crashObserved',
      endpoint: server.endpoint,
      bootId: server.bootId,
      fingerprints: suspects.map(({ fingerprint }) => fingerprint)
    }),
    ...failed.effects
  ]
}

/**
 * Fails the work whose exchange broke, and reports this to its gateways.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param crashed - whether the server crashed
 * @returns the effects and the work that failed
 * @internal
 */
export function failBrokenWork (
  state: NodeState,
  server: LocalServer,
  crashed: boolean
): { readonly effects: NodeEffect[], readonly suspects: Work[] } {
  const suspects = [...server.broken.values()]
  server.broken.clear()
  return { suspects, effects: suspects.map((work) => failWork(state, work, crashed)) }
}

function failWork (state: NodeState, work: Work, crashed: boolean): NodeEffect {
  const { attemptId, endpoint, fingerprint, bootId } = work
  return {
    slice: 'admission',
    type: 'failWork',
    attemptId,
    result: work.failure === 'truncated' ? 'answerIncomplete' : 'outcomeUnknown',
    // An exchange can break after the crash was confirmed; it is part of the same crash.
    crashedBoot: crashed || isSuspect(state, fingerprint) ? bootId : undefined,
    load: describeLoad(state, endpoint)
  }
}

function listDispatchedWork (state: NodeState, server: LocalServer): Work[] {
  return [...state.admission.work.values()].filter(({ endpoint, phase }) => {
    return endpoint === server.endpoint && phase === 'dispatched'
  })
}
