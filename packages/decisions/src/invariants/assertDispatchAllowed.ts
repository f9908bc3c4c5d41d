import type { AttemptId } from '@lavenderturn/types'
import { MAX_QUEUE_AGE } from '../admission/queueAge'
import { isDataCentreOut } from '../admission/takesNewWork'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

/**
 * I4, I7 and I11: work is not dispatched if its key was checked too long ago, if the data centre is taken out, or if
 * the backend server is draining.
 *
 * @param state - the state after a dispatch
 * @param attemptId - the attempt that was dispatched
 * @throws InvariantError if the dispatch was not allowed
 * @internal
 */
export function assertDispatchAllowed (state: NodeState, attemptId: AttemptId): void {
  const work = state.admission.work.get(attemptId)
  if (work === undefined) return
  if (state.now - work.arrivedAt > MAX_QUEUE_AGE) {
    throw new InvariantError('I4', `${attemptId} was dispatched after ${state.now - work.arrivedAt} ms in the queue`)
  }
  if (isDataCentreOut(state)) throw new InvariantError('I7', `${attemptId} was dispatched in a data centre that is out`)
  if (state.admission.servers.get(work.endpoint)?.state === 'draining') {
    throw new InvariantError('I11', `${attemptId} was dispatched to ${work.endpoint}, which is draining`)
  }
}
