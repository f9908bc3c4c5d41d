import type { TeamId } from '@lavenderturn/types'
import { isAlive } from '../directory/isAlive'
import type { Member } from '../directory/Member'
import { hashText, mixHashes } from '../hashText'
import type { MeshState } from '../MeshState'

/** @internal */
export interface OwnerQuery {
  readonly team: TeamId
  /** How many are wanted. */
  readonly count: number
}

/**
 * Finds the nodes that may keep a team's rate. The first one keeps it; the others stand in when it does not answer.
 * Every node gets the same order from the same members, without any agreement.
 *
 * @param state - the node's state
 * @param search - the team, and how many nodes are wanted
 * @returns members that can be reached, best first
 * @internal
 */
export function rankOwners (state: MeshState, { team, count }: OwnerQuery): Member[] {
  const teamHash = hashText(team)
  const best: Array<{ readonly member: Member, readonly rank: number }> = []
  for (const member of state.directory.members.values()) {
    const rank = mixHashes(teamHash, member.hash)
    if (best.length === count && rank <= best[count - 1]!.rank) continue
    if (member.leaving || !isAlive(state, member)) continue
    if (best.length === count) best.pop()
    const index = best.findIndex((other) => rank > other.rank)
    best.splice(index < 0 ? best.length : index, 0, { member, rank })
  }
  return best.map(({ member }) => member)
}
