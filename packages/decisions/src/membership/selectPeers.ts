import type { DataCentreId } from '@lavenderturn/types'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { hash } from '../hash'
import type { NodeState } from '../NodeState'
import type { Member } from './MembershipState'

/** Members of each data centre that read the head row and carry gossip to other data centres. */
export const POLLERS_PER_DATA_CENTRE = 3

/**
 * Lists the members that are alive or only suspected, without this node.
 *
 * @param state - the node's state
 * @returns the members
 * @public
 */
export function listPeers (state: NodeState): Member[] {
  return [...state.membership.members.values()].filter((member) => isPeer(state, member))
}

/**
 * Lists the pollers of a data centre: the live members with the lowest rank, which every node computes alike.
 *
 * @param state - the node's state
 * @param dataCentre - the data centre
 * @returns at most `POLLERS_PER_DATA_CENTRE` members; this node may be one
 * @public
 */
export function listPollers (state: NodeState, dataCentre: DataCentreId): Member[] {
  const live = [...state.membership.members.values()]
    .filter(({ status, record }) => status === 'alive' && record.dataCentre === dataCentre)
  return live
    .map((member) => ({ member, rank: hash(`poller/${member.record.nodeId}`) }))
    .sort((left, right) => left.rank - right.rank)
    .slice(0, POLLERS_PER_DATA_CENTRE)
    .map(({ member }) => member)
}

/**
 * Picks distinct members at random.
 *
 * @param state - the node's state, whose random generator is used
 * @param members - the members to pick from
 * @param count - how many to pick at most
 * @returns the members
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
