import type { TeamId } from '@lavenderturn/types'
import { isAlive } from '../directory/isAlive'
import type { Member } from '../directory/Member'
import { hashText } from '../hashText'
import type { MeshState } from '../MeshState'

/**
 * Ranks the nodes that may keep a team's rate. The first one keeps it; the others stand in when it does not answer.
 * Every node gets the same order from the same members, without any agreement.
 *
 * @param state - the node's state
 * @param team - the team
 * @returns members that can be reached, best first
 * @internal
 */
export function rankKeepers (state: MeshState, team: TeamId): Member[] {
  const members = [...state.directory.members.values()]
    .filter((member) => !member.leaving && isAlive(state, member))
    .map((member) => ({ member, rank: hashText(`${team}/${member.node}`) }))
  members.sort((left, right) => right.rank - left.rank)
  return members.map(({ member }) => member)
}
