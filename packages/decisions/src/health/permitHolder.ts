import { addMillis, type Address, type EndpointId, millis, type NodeId, type ServiceId } from '@lavenderturn/types'
import { type AssignmentEntry, findOwner, listDomains, partitionOf } from '../control/Assignment'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { ejectServer, returnServer } from './ejectServer'
import type { PermitAnswered, PermitUnanswered } from './HealthEvent'
import type { LocalHealth } from './HealthState'

/** A permit is renewed when less than this is left of it. */
const RENEW_BEFORE = millis(2_500)

/** A request for a permit that has no answer after this time is given up. */
const ANSWER_TIMEOUT = millis(2_000)

/** Wait after a request for a permit that was denied or not answered. */
const ASK_AGAIN_AFTER = millis(1_000)

/**
 * @param state - the node's state
 * @param service - a service
 * @returns the entry of the one owner that gives ejection permits for it, or undefined
 * @internal
 */
export function findPermitOwner (state: NodeState, service: ServiceId): AssignmentEntry | undefined {
  const domain = listDomains(state)[0]
  return domain === undefined ? undefined : findOwner(state, partitionOf(service), domain)
}

/**
 * @param state - the node's state
 * @param local - health of an ejected backend server
 * @returns whether its permit must be renewed now
 * @internal
 */
export function needsRenewal (state: NodeState, local: LocalHealth): boolean {
  return local.permitUntil! - state.now < RENEW_BEFORE && mayAsk(state, local)
}

/**
 * @param state - the node's state
 * @param local - health of a backend server
 * @returns whether the owner may be asked now
 * @internal
 */
export function mayAsk ({ now }: NodeState, { asking, askedAt, nextAskAt }: LocalHealth): boolean {
  const waiting = asking && askedAt !== undefined && now - askedAt < ANSWER_TIMEOUT
  return !waiting && now >= nextAskAt
}

/**
 * Asks for a permit, or for a longer one. Without a known owner nothing is asked.
 *
 * @param state - the node's state
 * @param endpoint - the backend server
 * @param local - what is known of its health
 * @returns effects
 * @internal
 */
export function askPermit (state: NodeState, endpoint: EndpointId, local: LocalHealth): NodeEffect[] {
  const owner = findOwnerAddress(state, local.service)
  if (owner === undefined) return []
  local.asking = true
  local.askedAt = state.now
  return [{ slice: 'health', type: 'askPermit', ...owner, service: local.service, endpoint, askedAt: state.now }]
}

/**
 * Gives a permit back, if there is one.
 *
 * @param state - the node's state
 * @param endpoint - the backend server
 * @param local - what is known of its health
 * @returns effects
 * @internal
 */
export function releasePermit (state: NodeState, endpoint: EndpointId, local: LocalHealth): NodeEffect[] {
  const { askedAt, service } = local
  const owner = findOwnerAddress(state, service)
  local.permitUntil = undefined
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
 * Takes the owner's answer into account. The permit counts from the time of the request, which is earlier than the
 * time from which the owner counts.
 *
 * @param state - the node's state
 * @param event - the answer
 * @returns effects
 * @internal
 */
export function handlePermitAnswered (state: NodeState, { endpoint, askedAt, answer }: PermitAnswered): NodeEffect[] {
  const server = state.admission.servers.get(endpoint)
  const local = state.health.local.get(endpoint)
  // An answer to an older request comes late; the newer one decides.
  if (server === undefined || local === undefined || local.askedAt !== askedAt) return []
  local.asking = false
  if (answer.kind === 'denied') {
    local.nextAskAt = addMillis(state.now, ASK_AGAIN_AFTER)
    const mustReturn = answer.reason === 'floor' && local.phase !== 'serving'
    return mustReturn ? returnServer(state, endpoint, local, 'floor') : []
  }
  const permitUntil = addMillis(askedAt, answer.lifetime)
  local.permitUntil = permitUntil
  if (local.phase !== 'serving') return []
  if (local.verdict === 'sick' && state.now < permitUntil) return ejectServer(state, server, local)
  return releasePermit(state, endpoint, local)
}

/**
 * Handles an owner that does not answer. An ejection that has a permit lasts until the permit's end.
 *
 * @param state - the node's state
 * @param event - the request that got no answer
 * @returns effects
 * @internal
 */
export function handlePermitUnanswered (state: NodeState, { endpoint, askedAt }: PermitUnanswered): NodeEffect[] {
  const local = state.health.local.get(endpoint)
  if (local === undefined || local.askedAt !== askedAt) return []
  local.asking = false
  local.nextAskAt = addMillis(state.now, ASK_AGAIN_AFTER)
  return []
}
