import type { EndpointId, ServiceId } from '@lavenderturn/types'
import type { DirectoryEntry } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'
import { findTrafficShare } from './findTrafficShare'

/**
 * Lists the endpoints of a service to which this gateway may send new work. Endpoints that are ejected or in trial, or
 * whose path is avoided, are excluded; avoided paths only as far as the others keep the service's floor in this
 * gateway's own view.
 *
 * @param state - the node's state
 * @param service - the service
 * @param tried - endpoints that earlier attempts of the request were sent to
 * @returns the endpoints, in no particular order
 * @public
 */
export function listCandidates (
  state: NodeState,
  service: ServiceId,
  tried: ReadonlySet<EndpointId>
): DirectoryEntry[] {
  const eligible = listEligible(state, service)
  const full = eligible.filter(({ endpoint }) => findTrafficShare(state, endpoint.id) === 1)
  const candidates = excludeAvoidedPaths(state, service, full).filter(({ endpoint }) => !tried.has(endpoint.id))
  if (candidates.length > 0) return candidates
  // This gateway's view of ejections and paths may be out of date, so the decision is left to the admission.
  return eligible.filter(({ endpoint }) => !tried.has(endpoint.id))
}

/**
 * @param state - the node's state
 * @param service - the service
 * @returns the endpoints that are neither draining nor in a data centre that is taken out
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
 * @returns whether this gateway currently avoids the path to its node
 * @internal
 */
export function isAvoided ({ health, now }: NodeState, { member }: DirectoryEntry): boolean {
  const path = health.paths.get(member.record.nodeId)
  return path !== undefined && now < path.avoidUntil
}

function excludeAvoidedPaths (state: NodeState, service: ServiceId, entries: DirectoryEntry[]): DirectoryEntry[] {
  const avoided = entries.filter((entry) => isAvoided(state, entry))
  if (avoided.length === 0) return entries
  const included = entries.filter((entry) => !isAvoided(state, entry))
  const required = countRequiredSlots(state, service)
  let slots = included.reduce((sum, { endpoint }) => sum + endpoint.slots, 0)
  // Paths are added back in the order in which their avoidance ends, until the floor is kept.
  avoided.sort((left, right) => avoidUntil(state, left) - avoidUntil(state, right))
  for (const entry of avoided) {
    if (slots >= required) break
    included.push(entry)
    slots += entry.endpoint.slots
  }
  return included
}

function avoidUntil ({ health }: NodeState, { member }: DirectoryEntry): number {
  return health.paths.get(member.record.nodeId)!.avoidUntil
}

function countRequiredSlots (state: NodeState, service: ServiceId): number {
  const floor = state.control.document?.findService(service)?.floor ?? 1
  let announced = 0
  for (const { endpoint } of state.membership.directory.get(service)?.values() ?? []) announced += endpoint.slots
  return Math.ceil(floor * announced)
}
