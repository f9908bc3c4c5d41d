import { type ResultName, toId } from '@lavenderturn/types'
import { describeLoad } from '../health/describeLoad'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { LocalServer, Work } from './AdmissionState'
import { drainQueues } from './TeamQueues'

/**
 * Hands back work that was never dispatched; the gateway may send it elsewhere.
 *
 * @param state - the node's state
 * @param work - work that has left its queue
 * @param result - why it was not dispatched
 * @returns effects
 * @internal
 */
export function rejectWork (state: NodeState, work: Work, result: ResultName): NodeEffect[] {
  state.admission.work.delete(work.attemptId)
  const { attemptId, endpoint } = work
  return [
    { slice: 'timer', type: 'clear', id: toId(`queue/${attemptId}`) },
    { slice: 'admission', type: 'reject', attemptId, result, load: describeLoad(state, endpoint) }
  ]
}

/**
 * Hands back all work that waits for a backend server.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param result - why it was not dispatched
 * @returns effects
 * @internal
 */
export function rejectQueue (state: NodeState, server: LocalServer, result: ResultName): NodeEffect[] {
  return drainQueues(server.queues).flatMap((work) => rejectWork(state, work, result))
}
