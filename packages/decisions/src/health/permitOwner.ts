import { addMillis, type Millis, millis, type ServiceId } from '@lavenderturn/types'
import { type AssignmentEntry, listDomains, partitionOf } from '../control/Assignment'
import { isFresh, provenAt } from '../control/isFresh'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { countCapacity, findWorkingSlots } from './countCapacity'
import type { PermitAnswer, PermitAsked, PermitReleased } from './HealthEvent'
import type { Permit } from './HealthState'
import { findPermitOwner } from './permitHolder'

/** Longest life of a permit. */
export const PERMIT_LIFETIME = millis(5_000)

/** Added where the owner counts, for clocks that do not run equally fast. */
const CLOCK_MARGIN = millis(100)

/**
 * Answers a node that asks for a permit.
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
  if (!mayGivePermits(state, service)) return { kind: 'denied', reason: 'unready' }
  const permits = state.health.permits.get(service) ?? new Map<Permit['endpoint'], Permit>()
  dropExpired(state, permits)
  const slots = findWorkingSlots(state, service, endpoint)
  if (slots === undefined) return { kind: 'denied', reason: 'unready' }
  const { healthy, needed } = countCapacity(state, service)
  const left = permits.has(endpoint) ? healthy : healthy - slots
  if (left < needed) return { kind: 'denied', reason: 'floor' }
  const lifetime = limitLifetime(state)
  const expiresAt = addMillis(addMillis(state.now, lifetime), CLOCK_MARGIN)
  permits.set(endpoint, { endpoint, holder, askedAt, expiresAt })
  state.health.permits.set(service, permits)
  return { kind: 'granted', lifetime }
}

/**
 * A new owner waits for `PERMIT_LIFETIME` only. That is enough because nobody can have taken over before the present
 * owner was last fresh, and no permit lasts longer than `PERMIT_LIFETIME` from then.
 */
function limitLifetime (state: NodeState): Millis {
  return millis(Math.min(PERMIT_LIFETIME, provenAt(state.control) + PERMIT_LIFETIME - state.now))
}

function mayGivePermits (state: NodeState, service: ServiceId): boolean {
  const entry = findPermitOwner(state, service)
  if (entry === undefined || entry.owner !== state.identity.nodeId || !isFresh(state)) return false
  return state.now >= openOffice(state, entry)
}

/** Starts the wait of a new owner, unless it has been the owner under the same entry before. */
function openOffice (state: NodeState, entry: AssignmentEntry): Millis {
  const known = state.health.permitOffices.get(entry.partition)
  if (known !== undefined && isSameEntry(known.entry, entry)) return known.opensAt
  const opensAt = addMillis(addMillis(state.now, PERMIT_LIFETIME), CLOCK_MARGIN)
  state.health.permitOffices.set(entry.partition, { entry, opensAt })
  return opensAt
}

function isSameEntry (left: AssignmentEntry, right: AssignmentEntry): boolean {
  return left.domain === right.domain && left.epoch === right.epoch && left.sequence === right.sequence
}

function dropExpired (state: NodeState, permits: Map<Permit['endpoint'], Permit>): void {
  for (const [endpoint, { expiresAt }] of permits) if (state.now >= expiresAt) permits.delete(endpoint)
}

/**
 * Takes a permit back from its holder.
 *
 * @param state - the node's state
 * @param event - the release
 * @returns effects
 * @internal
 */
export function handlePermitReleased (state: NodeState, event: PermitReleased): NodeEffect[] {
  const permits = state.health.permits.get(event.service)
  const permit = permits?.get(event.endpoint)
  // A release that was overtaken by a newer request must not free the newer permit.
  if (permit === undefined || permit.holder !== event.holder || event.askedAt < permit.askedAt) return []
  permits!.delete(event.endpoint)
  if (permits!.size === 0) state.health.permits.delete(event.service)
  return []
}

/**
 * Reacts to a change of a partition's owner. A new owner starts its wait; a former owner forgets its permits; holders
 * of permits ask the new owner.
 *
 * @param state - the node's state, with the new entry in force
 * @param event - the change
 * @returns effects
 * @public
 */
export function handleOwnerChanged (state: NodeState, { entry }: { readonly entry: AssignmentEntry }): NodeEffect[] {
  if (entry.domain !== listDomains(state)[0]) return []
  if (entry.owner === state.identity.nodeId) openOffice(state, entry)
  else closeOffice(state, entry)
  for (const local of state.health.local.values()) {
    if (partitionOf(local.service) !== entry.partition) continue
    local.asking = false
    local.nextAskAt = state.now
  }
  return []
}

function closeOffice (state: NodeState, { partition }: AssignmentEntry): void {
  state.health.permitOffices.delete(partition)
  for (const service of state.health.permits.keys()) {
    if (partitionOf(service) === partition) state.health.permits.delete(service)
  }
}
