import { millis, toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { LocalServer, Work } from './AdmissionState'

/**
 * Dispatches queued work while the backend server has free slots.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @returns effects
 * @internal
 */
export function startQueued (state: NodeState, server: LocalServer): NodeEffect[] {
  const effects: NodeEffect[] = []
  while (server.inFlight < server.slots && server.queue.length > 0) {
    effects.push(...dispatchWork(state, server, server.queue.shift()!))
  }
  return effects
}

function dispatchWork (state: NodeState, server: LocalServer, work: Work): NodeEffect[] {
  work.phase = 'dispatched'
  work.dispatchedAt = state.now
  server.inFlight += 1
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
