import { addMillis, type Millis, millis, type ServiceId } from '@lavenderturn/types'
import { type AssignmentEntry, listDomains, partitionOf } from '../control/Assignment'
import { isFresh, revisionConfirmedAt } from '../control/isFresh'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { countCapacity, findUsableSlots } from './countCapacity'
import type { PermitAnswer, PermitAsked, PermitReleased } from './HealthEvent'
import type { Permit } from './HealthState'
import { findPermitOwner } from './permitHolder'

/** Maximum lifetime of a permit. */
export const PERMIT_LIFETIME = millis(5_000)

/** Added to lifetimes that the owner measures, because the clocks of nodes can run at different speeds. */
const CLOCK_DRIFT_MARGIN = millis(100)

/**
 * Grants or denies a permit request.
 *
 * @param state - the node's state
 * @param event - the request
 * @returns effects
 * @internal
 */
export function answerPermit (state: NodeState, event: PermitAsked): NodeEffect[] {
  const answer = decidePermit(state, event)
  return [{ slice: 'health', type: 'answerPermit', callId: event.callId, service: event.service, answer }]
}

function decidePermit (state: NodeState, { holder, service, endpoint, askedAt }: PermitAsked): PermitAnswer {
  if (!mayGrantPermits(state, service)) return { kind: 'denied', reason: 'unready' }
  const permits = state.health.permits.get(service) ?? new Map<Permit['endpoint'], Permit>()
  removeExpired(state, permits)
  const slots = findUsableSlots(state, service, endpoint)
  if (slots === undefined) return { kind: 'denied', reason: 'unready' }
  const { healthy, required } = countCapacity(state, service)
  const remaining = permits.has(endpoint) ? healthy : healthy - slots
  if (remaining < required) return { kind: 'denied', reason: 'floor' }
  const lifetime = grantableLifetime(state)
  const expiresAt = addMillis(addMillis(state.now, lifetime), CLOCK_DRIFT_MARGIN)
  permits.set(endpoint, { endpoint, holder, askedAt, expiresAt })
  state.health.permits.set(service, permits)
  return { kind: 'granted', lifetime }
}

/**
 * Limits the lifetime of a permit so that it ends at most `PERMIT_LIFETIME` after the owner was last known to be fresh.
 * A new owner can only have taken over later than that, so waiting for `PERMIT_LIFETIME` is enough.
 */
function grantableLifetime (state: NodeState): Millis {
  return millis(Math.min(PERMIT_LIFETIME, revisionConfirmedAt(state.control) + PERMIT_LIFETIME - state.now))
}

function mayGrantPermits (state: NodeState, service: ServiceId): boolean {
  const entry = findPermitOwner(state, service)
  if (entry === undefined || entry.owner !== state.identity.nodeId || !isFresh(state)) return false
  return state.now >= startOwnership(state, entry)
}

/** Starts the waiting time of a new owner, unless it already owns the partition under the same assignment entry. */
function startOwnership (state: NodeState, entry: AssignmentEntry): Millis {
  const known = state.health.permitOwnerships.get(entry.partition)
  if (known !== undefined && isSameEntry(known.entry, entry)) return known.grantsFrom
  const grantsFrom = addMillis(addMillis(state.now, PERMIT_LIFETIME), CLOCK_DRIFT_MARGIN)
  state.health.permitOwnerships.set(entry.partition, { entry, grantsFrom })
  return grantsFrom
}

function isSameEntry (left: AssignmentEntry, right: AssignmentEntry): boolean {
  return left.domain === right.domain && left.epoch === right.epoch && left.sequence === right.sequence
}

function removeExpired (state: NodeState, permits: Map<Permit['endpoint'], Permit>): void {
  for (const [endpoint, { expiresAt }] of permits) if (state.now >= expiresAt) permits.delete(endpoint)
}

/**
 * Removes a permit that its holder has released.
 *
 * @param state - the node's state
 * @param event - the release
 * @returns effects
 * @internal
 */
export function handlePermitReleased (state: NodeState, event: PermitReleased): NodeEffect[] {
  const permits = state.health.permits.get(event.service)
  const permit = permits?.get(event.endpoint)
  // A late release must not remove a permit that the holder has requested since.
  if (permit === undefined || permit.holder !== event.holder || event.askedAt < permit.askedAt) return []
  permits!.delete(event.endpoint)
  if (permits!.size === 0) state.health.permits.delete(event.service)
  return []
}

/**
 * Handles a change of a partition's owner. A new owner starts its waiting time, a previous owner discards its permits,
 * and permit holders send their next request to the new owner at once.
 *
 * @param state - the node's state, with the new assignment entry in force
 * @param event - the change
 * @returns effects
 * @public
 */
export function handleOwnerChanged (state: NodeState, { entry }: { readonly entry: AssignmentEntry }): NodeEffect[] {
  if (entry.domain !== listDomains(state)[0]) return []
  if (entry.owner === state.identity.nodeId) startOwnership(state, entry)
  else endOwnership(state, entry)
  for (const health of state.health.localServers.values()) {
    if (partitionOf(health.service) !== entry.partition) continue
    health.permitRequestPending = false
    health.nextPermitRequestAt = state.now
  }
  return []
}

function endOwnership (state: NodeState, { partition }: AssignmentEntry): void {
  state.health.permitOwnerships.delete(partition)
  for (const service of state.health.permits.keys()) {
    if (partitionOf(service) === partition) state.health.permits.delete(service)
  }
}
