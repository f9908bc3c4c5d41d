import type { EndpointId, ServiceId } from '@lavenderturn/types'
import type { EndpointRecord } from '../membership/MemberRecord'
import type { Member } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'

/** Slots of a service, as the owner of its permits counts them. @public */
export interface Capacity {
  /** Slots of all endpoints that were announced and did not leave on purpose. */
  readonly announced: number
  /** Slots that can get work: not dead, draining, taken out or ejected. */
  readonly healthy: number
  /** Slots that ejection must leave healthy. */
  readonly needed: number
}

/**
 * @param state - the node's state
 * @param service - the service
 * @returns its slots; a service that is not declared needs all of them
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
      if (canWork(state, member, endpoint) && !isEjected(state, permits?.get(endpoint.id))) healthy += endpoint.slots
    }
  }
  const floor = state.control.document?.findService(service)?.floor ?? 1
  return { announced, healthy, needed: Math.ceil(floor * announced) }
}

function canWork (state: NodeState, { record, status }: Member, endpoint: EndpointRecord): boolean {
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
 * @returns its slots as long as it can get work apart from ejection; undefined when it cannot or is unknown
 * @internal
 */
export function findWorkingSlots (state: NodeState, service: ServiceId, endpoint: EndpointId): number | undefined {
  const entry = state.membership.directory.get(service)?.get(endpoint)
  if (entry === undefined || !canWork(state, entry.member, entry.endpoint)) return undefined
  return entry.endpoint.slots
}
