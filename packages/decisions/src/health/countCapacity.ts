import type { EndpointId, ServiceId } from '@lavenderturn/types'
import type { EndpointRecord } from '../membership/MemberRecord'
import type { Member } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'

/** Slots of a service as counted by the owner of its ejection permits. @public */
export interface Capacity {
  /** Slots of all announced endpoints, except those of members that left in a planned way. */
  readonly announced: number
  /** Slots that can get work: not dead, draining, ejected, or in a data centre that is taken out. */
  readonly healthy: number
  /** Slots that must remain healthy, according to the service's floor. */
  readonly required: number
}

/**
 * @param state - the node's state
 * @param service - the service
 * @returns its slots; an undeclared service requires all of them
 * @internal
 */
export function countCapacity (state: NodeState, service: ServiceId): Capacity {
  const permits = state.health.permits.get(service)
  let announced = 0
  let healthy = 0
  for (const member of state.membership.members.values()) {
    if (member.status === 'left') continue
    for (const endpoint of member.record.endpoints) {
      if (endpoint.service !== service) continue
      announced += endpoint.slots
      if (isUsable(state, member, endpoint) && !isEjected(state, permits?.get(endpoint.id))) healthy += endpoint.slots
    }
  }
  const floor = state.control.document?.findService(service)?.floor ?? 1
  return { announced, healthy, required: Math.ceil(floor * announced) }
}

function isUsable (state: NodeState, { record, status }: Member, endpoint: EndpointRecord): boolean {
  return status !== 'dead' && endpoint.state === 'serving' &&
    state.control.document?.dataCentreState(record.dataCentre) !== 'out'
}

function isEjected (state: NodeState, permit: { readonly expiresAt: number } | undefined): boolean {
  return permit !== undefined && state.now < permit.expiresAt
}

/**
 * @param state - the node's state
 * @param service - the service
 * @param endpoint - the endpoint
 * @returns its slots if it can get work, whether ejected or not; undefined if it cannot or is unknown
 * @internal
 */
export function findUsableSlots (state: NodeState, service: ServiceId, endpoint: EndpointId): number | undefined {
  const entry = state.membership.directory.get(service)?.get(endpoint)
  if (entry === undefined || !isUsable(state, entry.member, entry.endpoint)) return undefined
  return entry.endpoint.slots
}
