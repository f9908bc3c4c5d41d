import { describeLoad } from '../health/describeLoad'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { isSuspect } from '../quarantine/isQuarantined'
import { raise } from '../raise'
import type { LocalServer, Work } from './AdmissionState'

/**
 * Reports that a backend server died: every request that was in flight there may have killed it.
 *
 * @param state - the node's state
 * @param server - the backend server, still with the boot id of the life that ended
 * @returns effects
 * @internal
 */
export function confirmCrash (state: NodeState, server: LocalServer): NodeEffect[] {
  const effects = failBroken(state, server, true)
  const suspects = [...effects.suspects, ...listDispatched(state, server)]
  if (suspects.length === 0) return effects.effects
  return [
    raise({
      slice: 'quarantine',
      type: 'crashObserved',
      endpoint: server.endpoint,
      bootId: server.bootId,
      fingerprints: suspects.map(({ fingerprint }) => fingerprint)
    }),
    ...effects.effects
  ]
}

/**
 * Tells the gateways of broken exchanges that their attempts failed.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param crashed - whether the server died
 * @returns the effects and the work that failed
 * @internal
 */
export function failBroken (
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
    // An exchange that breaks after the crash was confirmed belongs to the same crash.
    crashedBoot: crashed || isSuspect(state, fingerprint) ? bootId : undefined,
    load: describeLoad(state, endpoint)
  }
}

function listDispatched (state: NodeState, server: LocalServer): Work[] {
  return [...state.admission.work.values()].filter(({ endpoint, phase }) => {
    return endpoint === server.endpoint && phase === 'dispatched'
  })
}
