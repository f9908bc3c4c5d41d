import { type Millis, toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { hasRollouts } from './exposureBounds'
import { CHECK_INTERVAL } from './rolloutTimings'

/**
 * Sets the timer of the next check, unless it is set.
 *
 * @param state - the node's state
 * @param delay - time until the check
 * @returns effects
 * @internal
 */
export function scheduleCheck ({ bounds, rollout }: MeshState, delay: Millis = CHECK_INTERVAL): MeshEffect[] {
  if (rollout.isChecking || !hasRollouts(bounds)) return []
  rollout.isChecking = true
  const event = { slice: 'rollout', type: 'checkDue' } as const
  return [{ slice: 'timer', type: 'set', id: toId('rollout/check'), delay, event }]
}
