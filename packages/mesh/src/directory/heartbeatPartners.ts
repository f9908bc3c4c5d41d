import { millis, type DataCentreId } from '@lavenderturn/types'
import { hashText, mixHashes } from '../hashText'
import type { MeshState } from '../MeshState'
import { ALIVE_TIMEOUT } from './directoryTimings'
import { isAlive } from './isAlive'
import type { Member } from './Member'

/**
 * Nodes of each data centre that may own the rates of teams. Only they need the heartbeats of all nodes, so that the
 * heartbeats between data centres do not grow with the square of the fleet.
 */
const RATE_OWNERS_PER_DATA_CENTRE = 6

/** Time for which a node that was expected to send heartbeats, and did not, is not chosen again. */
const SILENT_OWNER_PAUSE = millis(30_000)

const RANKING_HASH = hashText('owners of rates')

/**
 * Chooses the nodes that may own rates, from the members alone, so that nodes with the same members agree on them. Then
 * finds the members with which this node exchanges heartbeats: all of its own data centre, and of the others the
 * owners, or all if it is an owner itself.
 *
 * @param state - the node's state
 * @internal
 */
export function updateHeartbeatPartners (state: MeshState): void {
  const { directory, identity, now } = state
  const chosen = new Set(chooseRateOwners(state))
  const ownMember = directory.members.get(identity.nodeId)
  const isOwner = ownMember !== undefined && chosen.has(ownMember)
  for (const member of directory.members.values()) {
    member.mayOwnRates = chosen.has(member)
    const isExpected = isOwner || member.mayOwnRates || member.dataCentre === identity.dataCentre
    if (isExpected && !member.sendsHeartbeats) member.expectedSince = now
    member.sendsHeartbeats = isExpected
  }
}

function chooseRateOwners (state: MeshState): Member[] {
  const byDataCentre = new Map<DataCentreId, Array<{ readonly member: Member, readonly rank: number }>>()
  for (const member of state.directory.members.values()) {
    if (member.leaving) continue
    const ranked = byDataCentre.get(member.dataCentre)
    const entry = { member, rank: mixHashes(RANKING_HASH, member.hash) }
    if (ranked === undefined) byDataCentre.set(member.dataCentre, [entry])
    else ranked.push(entry)
  }
  return [...byDataCentre.values()].flatMap((ranked) => {
    ranked.sort((left, right) => right.rank - left.rank)
    return selectOwners(state, ranked.map(({ member }) => member))
  })
}

/**
 * Selects the first ones, with others in place of those that are silent. If all of them are silent, their data centre
 * cannot be reached, and the others there would not answer either.
 */
function selectOwners (state: MeshState, ranked: readonly Member[]): readonly Member[] {
  const first = ranked.slice(0, RATE_OWNERS_PER_DATA_CENTRE)
  if (!first.some((member) => isAlive(state, member))) return first
  return ranked.filter((member) => isEligible(state, member)).slice(0, RATE_OWNERS_PER_DATA_CENTRE)
}

/** Passes over a node whose heartbeats were expected and do not come, also after it has stopped being expected to. */
function isEligible (state: MeshState, member: Member): boolean {
  const { now } = state
  if (!isAlive(state, member)) {
    if (member.sendsHeartbeats) member.silentUntil = millis(now + SILENT_OWNER_PAUSE)
    return false
  }
  return now >= member.silentUntil || now - member.lastHeardAt < ALIVE_TIMEOUT
}
