import { millis, toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { LocalServer, Work } from './AdmissionState'
import { MAX_QUEUE_AGE } from './queueAge'
import { rejectWork } from './rejectWork'
import { estimateCost } from './RouteTiming'
import { takesNewWork } from './takesNewWork'
import { dequeue } from './TeamQueues'

/**
 * Dispatches queued work while the backend server's concurrency limit allows it.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @returns effects
 * @internal
 */
export function startQueued (state: NodeState, server: LocalServer): NodeEffect[] {
  const effects: NodeEffect[] = []
  if (!takesNewWork(state, server) || !server.reachable) return effects
  while (server.inFlight < server.limit.limit) {
    const work = dequeue(server.queues, ({ route }) => estimateCost(server.timings, route))
    if (work === undefined) break
    // After a pause of the process, work can be older than the limit because its timer has not fired yet.
    const expired = state.now - work.arrivedAt > MAX_QUEUE_AGE
    effects.push(...expired ? rejectWork(state, work, 'unconfirmed') : dispatchWork(state, server, work))
  }
  return effects
}

function dispatchWork (state: NodeState, server: LocalServer, work: Work): NodeEffect[] {
  work.phase = 'dispatched'
  work.dispatchedAt = state.now
  work.bootId = server.bootId
  if (!work.streamed) work.serviceStartedAt = state.now
  server.inFlight += 1
  work.atLimit = server.inFlight >= server.limit.limit
  return [
    { slice: 'timer', type: 'clear', id: toId(`queue/${work.attemptId}`) },
    {
      slice: 'admission',
      type: 'dispatch',
      attemptId: work.attemptId,
      endpoint: server.endpoint,
      address: server.address,
      timeout: millis(work.deadline - state.now)
    }
  ]
}
