import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { hasRollouts } from './exposureBounds'
import { RECORD_READ_INTERVAL } from './rolloutTimings'

/**
 * Reads the records of roll-outs at intervals until they are known, on a node that follows the store. The other nodes
 * learn of them from those that do.
 *
 * @param state - the node's state
 * @returns effects
 * @internal
 */
export function readMissingRecords ({ bounds, configuration, now, rollout }: MeshState): MeshEffect[] {
  if (!hasRollouts(bounds) || rollout.recordsKnown || !configuration.relay.following) return []
  if (now - rollout.readAt < RECORD_READ_INTERVAL) return []
  rollout.readAt = now
  return [{ slice: 'rollout', type: 'readRecords' }]
}
