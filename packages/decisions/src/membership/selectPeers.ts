import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { NodeState } from '../NodeState'
import type { Member } from './MembershipState'

/**
 * Lists the members that are alive or suspect, without this node.
 *
 * @param state - the node's state
 * @returns the other live members
 * @public
 */
export function listPeers (state: NodeState): Member[] {
  return [...state.membership.members.values()].filter((member) => isPeer(state, member))
}

/**
 * Picks random, distinct members.
 *
 * @param state - the node's state, whose random generator is used
 * @param members - members to pick from
 * @param count - maximum number of members to pick
 * @returns the picked members, in random order
 * @public
 */
export function pickMembers (state: NodeState, members: readonly Member[], count: number): Member[] {
  const pool = [...members]
  const picked: Member[] = []
  while (picked.length < count && pool.length > 0) {
    const index = uniformInt(state.random, 0, pool.length - 1)
    picked.push(pool[index]!)
    pool[index] = pool[pool.length - 1]!
    pool.pop()
  }
  return picked
}

function isPeer (state: NodeState, { record, status }: Member): boolean {
  return record.nodeId !== state.identity.nodeId && (status === 'alive' || status === 'suspect')
}
