import type { AttemptId } from '@lavenderturn/types'
import { MAX_QUEUE_AGE } from '../admission/queueAge'
import { isDataCentreOut } from '../admission/takesNewWork'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

/**
 * I4, I7 and I11: nothing is dispatched that waited too long for a key check, nothing in a data centre that is out,
 * nothing to a backend server that drains.
 *
 * @param state - the state after a dispatch
 * @param attemptId - the attempt that was dispatched
 * @throws InvariantError when the dispatch was not allowed
 * @internal
 */
export function assertTakesNewWork (state: NodeState, attemptId: AttemptId): void {
  const work = state.admission.work.get(attemptId)
  if (work === undefined) return
  if (state.now - work.arrivedAt > MAX_QUEUE_AGE) {
    throw new InvariantError('I4', `${attemptId} was dispatched after ${state.now - work.arrivedAt} ms in the queue`)
  }
  if (isDataCentreOut(state)) throw new InvariantError('I7', `${attemptId} was dispatched in a data centre that is out`)
  if (state.admission.servers.get(work.endpoint)?.state === 'draining') {
    throw new InvariantError('I11', `${attemptId} was dispatched to ${work.endpoint}, which drains`)
  }
}
