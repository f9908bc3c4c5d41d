import { toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import type { DrainRequested, LifecycleEvent } from './LifecycleEvent'

/**
 * Handles a planned stop. The node first becomes unready. Its ports stay open until the grace period has ended and all
 * holds are released; then requests in flight complete, and the ports close.
 *
 * @param state - the node's state
 * @param event - a lifecycle event
 * @returns effects
 * @internal
 */
export function reduceLifecycle (state: NodeState, event: LifecycleEvent): NodeEffect[] {
  const { lifecycle } = state
  switch (event.type) {
    case 'drainRequested': return startDrain(state, event)
    case 'drainStarted': return handleDrainStarted()
    case 'holdPlaced':
      lifecycle.holds.add(event.hold)
      return []
    case 'holdReleased':
      lifecycle.holds.delete(event.hold)
      return awaitIdleWithoutHolds(state)
    case 'graceEnded':
      if (lifecycle.phase !== 'draining') return []
      lifecycle.phase = 'finishing'
      return awaitIdleWithoutHolds(state)
    case 'idleReached': return lifecycle.phase === 'finishing' ? closeListeners(state) : []
    case 'listenersClosed':
      lifecycle.phase = 'stopped'
      return [{ slice: 'lifecycle', type: 'exit', code: 0 }]
  }
}

function startDrain (state: NodeState, { grace }: DrainRequested): NodeEffect[] {
  if (state.lifecycle.phase !== 'serving') return []
  state.lifecycle.phase = 'draining'
  return [
    { slice: 'lifecycle', type: 'setReadiness', ready: false },
    { slice: 'lifecycle', type: 'closeAfterAnswers' },
    { slice: 'log', type: 'stateChanged', message: 'planned stop started', fields: { graceMs: grace } },
    {
      slice: 'timer',
      type: 'set',
      id: toId('lifecycle/grace'),
      delay: grace,
      event: { slice: 'lifecycle', type: 'graceEnded' }
    },
    raise({ slice: 'lifecycle', type: 'drainStarted' })
  ]
}

/**
 * Starts everything that must finish before the ports close. The other members are notified first, so that no gateway
 * selects a backend server of this node while it stops. The partitions that the node owns are handed over next.
 *
 * @returns effects
 */
function handleDrainStarted (): NodeEffect[] {
  return [
    raise({ slice: 'membership', type: 'leaveStarted' }),
    raise({ slice: 'lifecycle', type: 'holdPlaced', hold: 'limits' }),
    raise({ slice: 'lifecycle', type: 'holdPlaced', hold: 'idempotency' }),
    raise({ slice: 'limits', type: 'leaveStarted' })
  ]
}

function awaitIdleWithoutHolds ({ lifecycle }: NodeState): NodeEffect[] {
  if (lifecycle.phase !== 'finishing' || lifecycle.holds.size > 0) return []
  return [{ slice: 'lifecycle', type: 'awaitIdle' }]
}

function closeListeners ({ lifecycle }: NodeState): NodeEffect[] {
  // A hold can still be placed while the node waits for its last exchange.
  if (lifecycle.holds.size > 0) return []
  return [{ slice: 'lifecycle', type: 'closeListeners' }]
}
