import type { EndpointId, ServiceId } from '@lavenderturn/types'
import type { DirectoryEntry } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'
import { readShare } from './readShare'

/**
 * Lists the endpoints of a service that may get new work from this gateway at full share. Endpoints behind sick paths
 * are left out only as long as the others keep the service's floor in this gateway's own view.
 *
 * @param state - the node's state
 * @param service - the service
 * @param tried - endpoints that this request has tried already
 * @returns the endpoints, in no fixed order
 * @public
 */
export function listCandidates (
  state: NodeState,
  service: ServiceId,
  tried: ReadonlySet<EndpointId>
): DirectoryEntry[] {
  const eligible = listEligible(state, service)
  const full = eligible.filter(({ endpoint }) => readShare(state, endpoint.id) === 1)
  const candidates = avoidSickPaths(state, service, full).filter(({ endpoint }) => !tried.has(endpoint.id))
  if (candidates.length > 0) return candidates
  // What this gateway knows of ejections and paths may be out of date; the admission decides.
  return eligible.filter(({ endpoint }) => !tried.has(endpoint.id))
}

/**
 * @param state - the node's state
 * @param service - the service
 * @returns the endpoints that neither they themselves nor operators have taken out
 * @internal
 */
export function listEligible (state: NodeState, service: ServiceId): DirectoryEntry[] {
  const eligible: DirectoryEntry[] = []
  for (const entry of state.membership.directory.get(service)?.values() ?? []) {
    if (entry.endpoint.state !== 'serving') continue
    if (state.control.document?.dataCentreState(entry.member.record.dataCentre) === 'out') continue
    eligible.push(entry)
  }
  return eligible
}

/**
 * @param state - the node's state
 * @param entry - an endpoint
 * @returns whether this gateway avoids the path to its node now
 * @internal
 */
export function isAvoided ({ health, now }: NodeState, { member }: DirectoryEntry): boolean {
  const path = health.paths.get(member.record.nodeId)
  return path !== undefined && now < path.avoidUntil
}

function avoidSickPaths (state: NodeState, service: ServiceId, entries: DirectoryEntry[]): DirectoryEntry[] {
  const avoided = entries.filter((entry) => isAvoided(state, entry))
  if (avoided.length === 0) return entries
  const kept = entries.filter((entry) => !isAvoided(state, entry))
  const needed = countNeeded(state, service)
  let slots = kept.reduce((sum, { endpoint }) => sum + endpoint.slots, 0)
  // The paths that are due first are used again until the floor is kept.
  avoided.sort((left, right) => avoidUntil(state, left) - avoidUntil(state, right))
  for (const entry of avoided) {
    if (slots >= needed) break
    kept.push(entry)
    slots += entry.endpoint.slots
  }
  return kept
}

function avoidUntil ({ health }: NodeState, { member }: DirectoryEntry): number {
  return health.paths.get(member.record.nodeId)!.avoidUntil
}

function countNeeded (state: NodeState, service: ServiceId): number {
  const floor = state.control.document?.findService(service)?.floor ?? 1
  let announced = 0
  for (const { endpoint } of state.membership.directory.get(service)?.values() ?? []) announced += endpoint.slots
  return Math.ceil(floor * announced)
}
