import { type ResultCodeName, toId } from '@lavenderturn/types'
import { describeLoad } from '../health/describeLoad'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { LocalServer, Work } from './AdmissionState'
import { drainQueues } from './TeamQueues'

/**
 * Rejects work that was not run. Its gateway may forward it to another endpoint.
 *
 * @param state - the node's state
 * @param work - work that is no longer queued
 * @param result - why it was rejected
 * @returns effects
 * @internal
 */
export function rejectWork (state: NodeState, work: Work, result: ResultCodeName): NodeEffect[] {
  state.admission.work.delete(work.attemptId)
  const { attemptId, endpoint } = work
  return [
    { slice: 'timer', type: 'clear', id: toId(`queue/${attemptId}`) },
    { slice: 'admission', type: 'reject', attemptId, result, load: describeLoad(state, endpoint) }
  ]
}

/**
 * Rejects all work that is queued for a backend server.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param result - why it was rejected
 * @returns effects
 * @internal
 */
export function rejectQueue (state: NodeState, server: LocalServer, result: ResultCodeName): NodeEffect[] {
  return drainQueues(server.queues).flatMap((work) => rejectWork(state, work, result))
}
