import { millis, toId } from '@lavenderturn/types'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { checkWriteTimeouts } from './controlWrites'
import { startFetch } from './fetchRevision'
import { renewFreshness } from './renewFreshness'
import { refreshHeartbeat } from './receiveFreshness'
import { requestIntentOutcomes } from './intents'
import { refreshMembers } from './pollers'
import { maintainAssignment } from './maintainAssignment'

/** Interval of the periodic work. Half the poll interval, so that a lost answer costs only 0.5 s. */
const TICK_INTERVAL = millis(500)

/**
 * Schedules the first tick after a random delay, so that nodes that start together do not tick together.
 *
 * @param state - the node's state
 * @returns the timer of the first tick
 * @internal
 */
export function startControl (state: NodeState): NodeEffect[] {
  refreshMembers(state)
  return [scheduleTick(millis(uniformInt(state.random, 0, TICK_INTERVAL)))]
}

/**
 * Runs the periodic work and schedules the next tick.
 *
 * @param state - the node's state
 * @returns effects of the periodic work
 * @internal
 */
export function tickControl (state: NodeState): NodeEffect[] {
  refreshMembers(state)
  refreshHeartbeat(state, state.identity.dataCentre)
  return [
    scheduleTick(TICK_INTERVAL),
    ...renewFreshness(state),
    ...requestIntentOutcomes(state),
    ...startFetch(state),
    ...checkWriteTimeouts(state),
    ...maintainAssignment(state)
  ]
}

function scheduleTick (delay: typeof TICK_INTERVAL): NodeEffect {
  return {
    slice: 'timer', type: 'set', id: toId('control/tick'), delay, event: { slice: 'control', type: 'ticked' }
  }
}
