import { addMillis, type Millis, millis, type NodeId, type TimerId, toId } from '@lavenderturn/types'
import { type AssignmentEntry, assignmentKey, domainOf } from '../control/Assignment'
import { hash } from '../hash'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { adoptEntry } from './adoptEntry'
import { findAddress } from './findAddress'
import { findSubLimit } from './findSubLimit'
import type { BucketRecord, HandOver } from './GrantMessages'
import { denyHeld } from './holdAsks'
import type { HandOverAnswered } from './LimitsEvent'
import type { Bucket, OwnedPartition, PendingHandOver } from './LimitsState'
import { settleBucket } from './settleBucket'

/** A hand-over without an answer is offered again after this time. */
const OFFER_RETRY = millis(500)

/**
 * How long a hand-over without an answer is offered. The successor may have installed it, so nobody else can get the
 * buckets; after this time the partition is left to a take-over.
 */
const OFFER_GIVE_UP = millis(5_000)

/**
 * Gives all owned partitions to other nodes, as a node does before a planned stop. Nothing is granted from then on.
 *
 * @param state - the node's state
 * @returns effects: the offers, and `limits/handOverDone` when there is nothing to hand over
 * @internal
 */
export function startHandOver (state: NodeState): NodeEffect[] {
  if (state.limits.leaving) return []
  state.limits.leaving = true
  const effects: NodeEffect[] = [raise({ slice: 'idempotency', type: 'leaveStarted' })]
  if (state.limits.owned.size === 0) return [...effects, raiseDone()]
  for (const [key, owned] of [...state.limits.owned]) {
    for (const bucket of owned.buckets.values()) freezeBucket(state, bucket)
    effects.push(...denyHeld(owned))
    effects.push(...offerNext(state, key, owned, { refused: new Set(), startedAt: state.now }))
  }
  return effects
}

function freezeBucket (state: NodeState, bucket: Bucket): void {
  const sub = findSubLimit(state, bucket.team)
  if (sub !== undefined) settleBucket(bucket, sub, state.now)
}

/** Offers a partition to the best successor that has not refused. */
function offerNext (
  state: NodeState,
  key: string,
  owned: OwnedPartition,
  { refused, startedAt }: Pick<PendingHandOver, 'refused' | 'startedAt'>
): NodeEffect[] {
  const successor = chooseSuccessor(state, owned.entry, refused)
  if (successor === undefined) return endHandOver(state, key)
  // Each candidate gets its own sequence, so that a late offer to an earlier one is out of date.
  const entry = { ...owned.entry, owner: successor, sequence: owned.entry.sequence + 1 + refused.size }
  owned.handOver = { entry, refused, startedAt }
  return sendOffer(state, key, owned, owned.handOver)
}

/** Members of the domain come first, in rendezvous order, so that nodes agree without talking. */
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
  const address = findAddress(state, entry.owner)
  const retry: NodeEffect = {
    slice: 'timer',
    type: 'set',
    id: timerId(key),
    delay: OFFER_RETRY,
    event: { slice: 'limits', type: 'handOverDue', key }
  }
  if (address === undefined) return [retry]
  const handOver: HandOver = {
    from: state.identity.nodeId,
    entry,
    openFor: millis(state.now - owned.openAt),
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
 * Offers a partition again whose successor has not answered.
 *
 * @param state - the node's state
 * @param key - `assignmentKey` of the partition
 * @returns effects
 * @internal
 */
export function offerAgain (state: NodeState, key: string): NodeEffect[] {
  const owned = state.limits.owned.get(key)
  if (owned?.handOver === undefined) return []
  if (state.now >= addMillis(owned.handOver.startedAt, OFFER_GIVE_UP)) return endHandOver(state, key)
  return sendOffer(state, key, owned, owned.handOver)
}

/**
 * Handles a successor's answer.
 *
 * @param state - the node's state
 * @param event - the answer
 * @returns effects
 * @internal
 */
export function answerOffer (state: NodeState, { entry, result }: HandOverAnswered): NodeEffect[] {
  const key = assignmentKey(entry.partition, entry.domain)
  const owned = state.limits.owned.get(key)
  const pending = owned?.handOver
  // Without an answer the successor may have installed it; the timer offers it to the same node again.
  if (owned === undefined || pending === undefined || result === undefined) return []
  if (pending.entry.owner !== entry.owner || pending.entry.sequence !== entry.sequence) return []
  if (result === 'refused') {
    return offerNext(state, key, owned, { ...pending, refused: pending.refused.add(entry.owner) })
  }
  const effects = endHandOver(state, key)
  return result === 'confirmed' ? [...effects, ...adoptEntry(state, entry)] : effects
}

/**
 * Forgets an owned partition.
 *
 * @param state - the node's state
 * @param key - `assignmentKey` of the partition
 * @returns effects: `limits/handOverDone` when it was the last one of a node that leaves
 * @internal
 */
export function endHandOver (state: NodeState, key: string): NodeEffect[] {
  state.limits.owned.delete(key)
  const effects: NodeEffect[] = [{ slice: 'timer', type: 'clear', id: timerId(key) }]
  if (state.limits.leaving && state.limits.owned.size === 0) effects.push(raiseDone())
  return effects
}

function raiseDone (): NodeEffect {
  return raise({ slice: 'limits', type: 'handOverDone' })
}

function timerId (key: string): TimerId {
  return toId(`handOver/${key}`)
}
