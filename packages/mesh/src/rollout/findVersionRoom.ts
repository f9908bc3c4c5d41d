import type { MeshState } from '../MeshState'
import { hasRollouts } from './exposureBounds'
import { OVERLAP } from './rolloutTimings'

const UNLIMITED = Number.POSITIVE_INFINITY

/**
 * Finds how many requests this instance's backend server may get because of its version. A node that knows too little
 * of a roll-out passes nothing on to a version that may not be proven.
 *
 * @param state - the node's state
 * @returns the number of requests
 * @internal
 */
export function findVersionRoom (state: MeshState): number {
  const { admission: { server }, bounds, identity, now, rollout } = state
  if (server === undefined || !hasRollouts(bounds)) return UNLIMITED
  if (!rollout.ordersKnown || !rollout.recordsKnown) return 0
  if (isOrderUnknown(state)) return 0
  const current = rollout.rollouts.get(identity.service)
  if (current === undefined) return UNLIMITED
  if (current.excluded.has(server.version)) return 0
  const isNew = server.version === current.order.to
  if (isNew && !current.isPhaseKnown) return 0
  switch (current.phase) {
    case 'canary': return isNew ? findAllowance(state) : UNLIMITED
    case 'promoting': return isNew || now - current.phaseSince < OVERLAP ? UNLIMITED : 0
    case 'completed': return isNew ? UNLIMITED : 0
    case 'rolledBack': return isNew ? 0 : UNLIMITED
  }
}

/** Whether the server's version may have been ordered since the store last confirmed what this node knows. */
function isOrderUnknown ({ admission: { server }, configuration: { confirmed } }: MeshState): boolean {
  const changedAt = server?.versionChangedAt
  return changedAt !== undefined && (confirmed === undefined || confirmed.steadyAt < changedAt)
}

function findAllowance ({ now, rollout: { exposure } }: MeshState): number {
  return now < exposure.validUntil ? Math.max(0, exposure.allowance - exposure.dispatched) : 0
}
