import { toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import type { DrainRequested, LifecycleEvent } from './LifecycleEvent'

/**
 * A planned stop: readiness goes off first, ports stay open for the grace period and until holds are released, work in
 * flight ends by itself, and then the ports close.
 *
 * @param state - the node's state
 * @param event - an event of the lifecycle
 * @returns effects
 * @internal
 */
export function reduceLifecycle (state: NodeState, event: LifecycleEvent): NodeEffect[] {
  const { lifecycle } = state
  switch (event.type) {
    case 'drainRequested': return startDrain(state, event)
    case 'drainStarted': return reduceDrainStarted()
    case 'holdPlaced':
      lifecycle.holds.add(event.hold)
      return []
    case 'holdReleased':
      lifecycle.holds.delete(event.hold)
      return finishWhenFree(state)
    case 'graceEnded':
      if (lifecycle.phase !== 'draining') return []
      lifecycle.phase = 'finishing'
      return finishWhenFree(state)
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
 * Starts what must be done before the ports close. The members are told first, so that no gateway chooses a backend
 * server of this node while it stops; then the partitions that it owns are handed over.
 *
 * @returns effects
 */
function reduceDrainStarted (): NodeEffect[] {
  return [
    raise({ slice: 'membership', type: 'leaveStarted' }),
    raise({ slice: 'lifecycle', type: 'holdPlaced', hold: 'limits' }),
    raise({ slice: 'lifecycle', type: 'holdPlaced', hold: 'idempotency' }),
    raise({ slice: 'limits', type: 'leaveStarted' })
  ]
}

function finishWhenFree ({ lifecycle }: NodeState): NodeEffect[] {
  if (lifecycle.phase !== 'finishing' || lifecycle.holds.size > 0) return []
  return [{ slice: 'lifecycle', type: 'awaitIdle' }]
}

function closeListeners ({ lifecycle }: NodeState): NodeEffect[] {
  // A hold can be placed late, while the node waits for its last exchange.
  if (lifecycle.holds.size > 0) return []
  return [{ slice: 'lifecycle', type: 'closeListeners' }]
}
