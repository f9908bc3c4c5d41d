import { isAlive } from '../directory/isAlive'
import type { Member } from '../directory/Member'
import { hashText, mixHashes } from '../hashText'
import type { MeshState } from '../MeshState'
import { MAX_UNSERVED_FOLLOWERS, MIN_FOLLOWERS, NODES_PER_FOLLOWER } from './configurationTimings'

const RANKING_HASH = hashText('followers of the store')

/**
 * Lists the nodes of this node's data centre in the order in which they follow the store. Nodes with the same members
 * agree on the order without coordination.
 *
 * @param state - the node's state
 * @returns running members that do not leave, this node included
 * @internal
 */
export function rankFollowers (state: MeshState): Member[] {
  const ranked: Array<{ readonly member: Member, readonly rank: number }> = []
  for (const member of state.directory.members.values()) {
    if (member.dataCentre !== state.identity.dataCentre || member.leaving || !isAlive(state, member)) continue
    ranked.push({ member, rank: mixHashes(RANKING_HASH, member.hash) })
  }
  ranked.sort((left, right) => right.rank - left.rank)
  return ranked.map(({ member }) => member)
}

/**
 * @param ranked - the nodes of a data centre
 * @returns how many of them follow the store
 * @internal
 */
export function countFollowers (ranked: readonly Member[]): number {
  return Math.max(MIN_FOLLOWERS, Math.ceil(ranked.length / NODES_PER_FOLLOWER))
}

/**
 * Decides whether this node follows the store: if too few nodes before it in the order have a current confirmation, but
 * not if many of them try in vain, because the store then serves nobody.
 *
 * @param state - the node's state
 * @param ranked - the nodes of the data centre in order
 * @returns whether it follows
 * @internal
 */
export function isFollower ({ configuration, identity }: MeshState, ranked: readonly Member[]): boolean {
  const { faults } = configuration.relay
  let served = 0
  let unserved = 0
  for (const { node } of ranked) {
    if (node === identity.nodeId) return true
    const fault = faults.get(node)
    if (fault === undefined) served += 1
    else if (fault === 'unserved') unserved += 1
    if (served >= countFollowers(ranked) || unserved >= MAX_UNSERVED_FOLLOWERS) return false
  }
  return true
}
