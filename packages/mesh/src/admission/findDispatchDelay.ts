import { type Millis, millis } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'
import { findColdStartDelay } from './findColdStartDelay'
import { findLimitDelay } from './findLimitDelay'

/**
 * Finds how long the next request to the backend server has to wait.
 *
 * @param state - the node's state
 * @returns the delay; 0 if a request may be sent now
 * @internal
 */
export function findDispatchDelay (state: MeshState): Millis {
  return millis(Math.max(findColdStartDelay(state), findLimitDelay(state)))
}
