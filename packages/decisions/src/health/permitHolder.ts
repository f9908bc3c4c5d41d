import { addMillis, type Address, type EndpointId, millis, type NodeId, type ServiceId } from '@lavenderturn/types'
import { type AssignmentEntry, findOwner, listDomains, partitionOf } from '../control/Assignment'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { ejectServer, returnServer } from './ejectServer'
import type { PermitAnswered, PermitUnanswered } from './HealthEvent'
import type { LocalHealth } from './HealthState'

/** Remaining lifetime at which a permit is renewed. */
const RENEWAL_MARGIN = millis(2_500)

/** A permit request without an answer is abandoned after this time. */
const PERMIT_REQUEST_TIMEOUT = millis(2_000)

/** Delay after a permit request that was denied or not answered. */
const PERMIT_RETRY_DELAY = millis(1_000)

/**
 * @param state - the node's state
 * @param service - a service
 * @returns the assignment of the single owner that grants ejection permits for the service, or undefined if unknown
 * @internal
 */
export function findPermitOwner (state: NodeState, service: ServiceId): AssignmentEntry | undefined {
  const domain = listDomains(state)[0]
  return domain === undefined ? undefined : findOwner(state, partitionOf(service), domain)
}

/**
 * @param state - the node's state
 * @param health - health of an ejected backend server
 * @returns whether its permit needs to be renewed now
 * @internal
 */
export function needsRenewal (state: NodeState, health: LocalHealth): boolean {
  return health.permitExpiresAt! - state.now < RENEWAL_MARGIN && mayAskPermit(state, health)
}

/**
 * @param state - the node's state
 * @param health - health of a backend server
 * @returns whether a permit may be requested now
 * @internal
 */
export function mayAskPermit (
  { now }: NodeState,
  { permitRequestPending, askedAt, nextPermitRequestAt }: LocalHealth
): boolean {
  const pending = permitRequestPending && askedAt !== undefined && now - askedAt < PERMIT_REQUEST_TIMEOUT
  return !pending && now >= nextPermitRequestAt
}

/**
 * Requests a permit or its renewal. Does nothing if the owner is unknown.
 *
 * @param state - the node's state
 * @param endpoint - the backend server
 * @param health - the server's health
 * @returns effects
 * @internal
 */
export function askPermit (state: NodeState, endpoint: EndpointId, health: LocalHealth): NodeEffect[] {
  const owner = findOwnerAddress(state, health.service)
  if (owner === undefined) return []
  health.permitRequestPending = true
  health.askedAt = state.now
  return [{ slice: 'health', type: 'askPermit', ...owner, service: health.service, endpoint, askedAt: state.now }]
}

/**
 * Returns the permit to the owner, if there is one.
 *
 * @param state - the node's state
 * @param endpoint - the backend server
 * @param health - the server's health
 * @returns effects
 * @internal
 */
export function releasePermit (state: NodeState, endpoint: EndpointId, health: LocalHealth): NodeEffect[] {
  const { askedAt, service } = health
  const owner = findOwnerAddress(state, service)
  health.permitExpiresAt = undefined
  if (owner === undefined || askedAt === undefined) return []
  return [{ slice: 'health', type: 'releasePermit', ...owner, service, endpoint, askedAt }]
}

function findOwnerAddress (
  state: NodeState,
  service: ServiceId
): { readonly owner: NodeId, readonly address: Address } | undefined {
  const owner = findPermitOwner(state, service)?.owner
  if (owner === undefined) return undefined
  if (owner === state.identity.nodeId) return { owner, address: state.identity.controlAddress }
  const address = state.membership.members.get(owner)?.record.controlAddress
  return address === undefined ? undefined : { owner, address }
}

/**
 * Handles the owner's answer to a permit request. The holder measures the permit's lifetime from the time of its
 * request, which is earlier than the time from which the owner measures it.
 *
 * @param state - the node's state
 * @param event - the answer
 * @returns effects
 * @internal
 */
export function handlePermitAnswered (state: NodeState, { endpoint, askedAt, answer }: PermitAnswered): NodeEffect[] {
  const server = state.admission.servers.get(endpoint)
  const health = state.health.localServers.get(endpoint)
  // Ignores a late answer to an earlier request.
  if (server === undefined || health === undefined || health.askedAt !== askedAt) return []
  health.permitRequestPending = false
  if (answer.kind === 'denied') {
    health.nextPermitRequestAt = addMillis(state.now, PERMIT_RETRY_DELAY)
    const mustReturn = answer.reason === 'floor' && health.phase !== 'serving'
    return mustReturn ? returnServer(state, endpoint, health, 'floor') : []
  }
  const permitExpiresAt = addMillis(askedAt, answer.lifetime)
  health.permitExpiresAt = permitExpiresAt
  if (health.phase !== 'serving') return []
  if (health.verdict === 'sick' && state.now < permitExpiresAt) return ejectServer(state, server, health)
  return releasePermit(state, endpoint, health)
}

/**
 * Handles a permit request that the owner did not answer. An existing ejection continues until its permit expires.
 *
 * @param state - the node's state
 * @param event - the unanswered request
 * @returns effects
 * @internal
 */
export function handlePermitUnanswered (state: NodeState, { endpoint, askedAt }: PermitUnanswered): NodeEffect[] {
  const health = state.health.localServers.get(endpoint)
  if (health === undefined || health.askedAt !== askedAt) return []
  health.permitRequestPending = false
  health.nextPermitRequestAt = addMillis(state.now, PERMIT_RETRY_DELAY)
  return []
}
