import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { Member } from '../directory/Member'
import type { MeshState } from '../MeshState'

/**
 * Largest number of candidates ranked for one slot request. The best of a few dozen is nearly as good as the best of
 * thousands, and the cost of a slot request does not grow with the fleet.
 */
const SAMPLE_SIZE = { sameDataCentre: 40, otherDataCentres: 24 }

/**
 * Draws the candidates to rank for a slot request.
 *
 * @param state - the node's state
 * @param candidates - all nodes that may be asked; reordered in place
 * @returns the candidates to rank
 * @internal
 */
export function sampleCandidates (state: MeshState, candidates: Member[]): Member[] {
  if (candidates.length <= SAMPLE_SIZE.sameDataCentre) return candidates
  const { dataCentre } = state.identity
  const local = candidates.filter((member) => member.dataCentre === dataCentre)
  const remote = candidates.filter((member) => member.dataCentre !== dataCentre)
  return [
    ...drawSample(state, local, SAMPLE_SIZE.sameDataCentre),
    ...drawSample(state, remote, SAMPLE_SIZE.otherDataCentres)
  ]
}

/** Partial Fisher-Yates shuffle. */
function drawSample (state: MeshState, members: Member[], count: number): Member[] {
  if (members.length <= count) return members
  for (let index = 0; index < count; index++) {
    const swapIndex = uniformInt(state.random, index, members.length - 1)
    const swapped = members[index]!
    members[index] = members[swapIndex]!
    members[swapIndex] = swapped
  }
  members.length = count
  return members
}
