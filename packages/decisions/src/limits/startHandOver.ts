import { addMillis, type Millis, millis, type NodeId, type TimerId, toId } from '@lavenderturn/types'
import { type AssignmentEntry, assignmentKey, domainOf } from '../control/Assignment'
import { hash } from '../hash'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { applyAssignmentEntry } from './applyAssignmentEntry'
import { findControlAddress } from './findControlAddress'
import { findDomainLimit } from './findDomainLimit'
import type { BucketRecord, HandOver } from './GrantMessages'
import type { HandOverAnswered } from './LimitsEvent'
import type { Bucket, OwnedPartition, PendingHandOver } from './LimitsState'
import { denyAllPending } from './pendingGrantRequests'
import { refillBucket } from './refillBucket'

/** A handover without an answer is offered again after this time. */
const OFFER_RETRY_DELAY = millis(500)

/**
 * How long a handover without an answer is offered to the same successor. The successor may have installed it, so the
 * buckets cannot go to another node; after this time the partition is given up and a new owner takes it over.
 */
const OFFER_TIMEOUT = millis(5_000)

/**
 * Starts handing over all owned partitions to other nodes before a planned stop. No grants are issued from then on.
 *
 * @param state - the node's state
 * @returns effects: the offers, or `limits/handOverDone` when there is nothing to hand over
 * @internal
 */
export function startHandOver (state: NodeState): NodeEffect[] {
  if (state.limits.leaving) return []
  state.limits.leaving = true
  const effects: NodeEffect[] = [raise({ slice: 'idempotency', type: 'leaveStarted' })]
  if (state.limits.owned.size === 0) return [...effects, raiseHandOverDone()]
  for (const [key, owned] of [...state.limits.owned]) {
    for (const bucket of owned.buckets.values()) refillDeclaredBucket(state, bucket)
    effects.push(...denyAllPending(owned))
    effects.push(...offerToNextSuccessor(state, key, owned, { refused: new Set(), startedAt: state.now }))
  }
  return effects
}

function refillDeclaredBucket (state: NodeState, bucket: Bucket): void {
  const limit = findDomainLimit(state, bucket.team)
  if (limit !== undefined) refillBucket(bucket, limit, state.now)
}

/** Offers a partition to the highest-ranked successor that has not refused, or gives it up when none is left. */
function offerToNextSuccessor (
  state: NodeState,
  key: string,
  owned: OwnedPartition,
  { refused, startedAt }: Pick<PendingHandOver, 'refused' | 'startedAt'>
): NodeEffect[] {
  const successor = chooseSuccessor(state, owned.entry, refused)
  if (successor === undefined) return removePartition(state, key)
  // Each candidate gets its own sequence, so that a late offer to an earlier candidate is superseded.
  const entry = { ...owned.entry, owner: successor, sequence: owned.entry.sequence + 1 + refused.size }
  owned.handOver = { entry, refused, startedAt }
  return sendOffer(state, key, owned, owned.handOver)
}

/** Prefers members of the domain. Rendezvous hashing lets all nodes choose the same successor without communication. */
function chooseSuccessor (
  state: NodeState,
  { partition, domain }: AssignmentEntry,
  refused: ReadonlySet<NodeId>
): NodeId | undefined {
  let best: { readonly node: NodeId, readonly isLocal: boolean, readonly rank: number } | undefined
  for (const [node, { record, status }] of state.membership.members) {
    if (node === state.identity.nodeId || refused.has(node) || status !== 'alive') continue
    const isLocal = domainOf(state, record) === domain
    const rank = hash(`${assignmentKey(partition, domain)}/${node}`)
    if (best !== undefined && (best.isLocal !== isLocal ? best.isLocal : best.rank >= rank)) continue
    best = { node, isLocal, rank }
  }
  return best?.node
}

function sendOffer (
  state: NodeState,
  key: string,
  owned: OwnedPartition,
  { entry }: PendingHandOver
): NodeEffect[] {
  const address = findControlAddress(state, entry.owner)
  const retry: NodeEffect = {
    slice: 'timer',
    type: 'set',
    id: timerId(key),
    delay: OFFER_RETRY_DELAY,
    event: { slice: 'limits', type: 'handOverDue', key }
  }
  if (address === undefined) return [retry]
  const handOver: HandOver = {
    from: state.identity.nodeId,
    entry,
    openFor: millis(state.now - owned.opensAt),
    buckets: [...owned.buckets.values()].map((bucket) => describeBucket(bucket, state.now))
  }
  return [retry, { slice: 'limits', type: 'offerHandOver', node: entry.owner, address, handOver }]
}

function describeBucket ({ team, rate, burst, share, room, level, grants }: Bucket, now: Millis): BucketRecord {
  const records = [...grants].map(([holder, { share, room, number, demand, expiresAt }]) => {
    return { holder, share, room, number, demand, remaining: millis(Math.max(0, expiresAt - now)) }
  })
  return { team, rate, burst, share, room, level, grants: records }
}

/**
 * Repeats an offer that has not been answered, or gives up the partition after `OFFER_TIMEOUT`.
 *
 * @param state - the node's state
 * @param key - `assignmentKey` of the partition
 * @returns effects
 * @internal
 */
export function retryOffer (state: NodeState, key: string): NodeEffect[] {
  const owned = state.limits.owned.get(key)
  if (owned?.handOver === undefined) return []
  if (state.now >= addMillis(owned.handOver.startedAt, OFFER_TIMEOUT)) return removePartition(state, key)
  return sendOffer(state, key, owned, owned.handOver)
}

/**
 * Handles a successor's answer: a refused partition is offered to the next candidate, any other is removed.
 *
 * @param state - the node's state
 * @param event - the answer
 * @returns effects
 * @internal
 */
export function handleHandOverAnswered (state: NodeState, { entry, result }: HandOverAnswered): NodeEffect[] {
  const key = assignmentKey(entry.partition, entry.domain)
  const owned = state.limits.owned.get(key)
  const pending = owned?.handOver
  // Without an answer the successor may have installed the partition; the timer repeats the offer to the same node.
  if (owned === undefined || pending === undefined || result === undefined) return []
  if (pending.entry.owner !== entry.owner || pending.entry.sequence !== entry.sequence) return []
  if (result === 'refused') {
    return offerToNextSuccessor(state, key, owned, { ...pending, refused: pending.refused.add(entry.owner) })
  }
  const effects = removePartition(state, key)
  return result === 'confirmed' ? [...effects, ...applyAssignmentEntry(state, entry)] : effects
}

/**
 * Removes an owned partition.
 *
 * @param state - the node's state
 * @param key - `assignmentKey` of the partition
 * @returns effects: `limits/handOverDone` when it was the last partition of a leaving node
 * @internal
 */
export function removePartition (state: NodeState, key: string): NodeEffect[] {
  state.limits.owned.delete(key)
  const effects: NodeEffect[] = [{ slice: 'timer', type: 'clear', id: timerId(key) }]
  if (state.limits.leaving && state.limits.owned.size === 0) effects.push(raiseHandOverDone())
  return effects
}

function raiseHandOverDone (): NodeEffect {
  return raise({ slice: 'limits', type: 'handOverDone' })
}

function timerId (key: string): TimerId {
  return toId(`handOver/${key}`)
}
