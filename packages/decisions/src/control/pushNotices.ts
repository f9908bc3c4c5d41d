import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { listPeerAddresses } from './pollers'

/** Number of peers that each node notifies of a new revision. With 4, about 5 hops reach 2,600 nodes. */
const NOTICE_FANOUT = 4

/**
 * Notifies random peers of the revision in force.
 *
 * @param state - the node's state
 * @returns the notices
 * @internal
 */
export function pushNotices (state: NodeState): NodeEffect[] {
  const peers = listPeerAddresses(state)
  const effects: NodeEffect[] = []
  for (let count = Math.min(NOTICE_FANOUT, peers.length); count > 0; count -= 1) {
    const [peer] = peers.splice(uniformInt(state.random, 0, peers.length - 1), 1)
    effects.push({ slice: 'control', type: 'pushNotice', peer: peer!, revision: state.control.revision })
  }
  return effects
}
