import { type ResultName, toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { Work } from './AdmissionState'

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
  return [
    { slice: 'timer', type: 'clear', id: toId(`queue/${work.attemptId}`) },
    { slice: 'admission', type: 'reject', attemptId: work.attemptId, result }
  ]
}
