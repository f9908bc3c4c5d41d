import type { TeamId } from '@lavenderturn/types'
import { isAlive } from '../directory/isAlive'
import type { Member } from '../directory/Member'
import { hashText, mixHashes } from '../hashText'
import type { MeshState } from '../MeshState'

/** @internal */
export interface OwnerQuery {
  readonly team: TeamId
  /** Number of owners to return. */
  readonly count: number
}

/**
 * Ranks the nodes that may own a team's rate. The first one is the owner, and the others are fallbacks when it does not
 * reply. They are drawn from the nodes that exchange heartbeats with all others. The order is the result of rendezvous
 * hashing, so nodes with the same members agree on it without coordination.
 *
 * @param state - the node's state
 * @param query - the team and the number of owners
 * @returns reachable members in order of preference
 * @internal
 */
export function rankOwners (state: MeshState, { team, count }: OwnerQuery): Member[] {
  const teamHash = hashText(team)
  const best: Array<{ readonly member: Member, readonly rank: number }> = []
  for (const member of state.directory.members.values()) {
    if (!member.mayOwnRates || member.leaving || !isAlive(state, member)) continue
    const rank = mixHashes(teamHash, member.hash)
    if (best.length === count && rank <= best[count - 1]!.rank) continue
    if (best.length === count) best.pop()
    const index = best.findIndex((other) => rank > other.rank)
    best.splice(index < 0 ? best.length : index, 0, { member, rank })
  }
  return best.map(({ member }) => member)
}
