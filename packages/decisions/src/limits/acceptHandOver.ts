import { addMillis, millis } from '@lavenderturn/types'
import { assignmentKey, supersedes } from '../control/Assignment'
import { isFresh } from '../control/isFresh'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { applyAssignmentEntry } from './applyAssignmentEntry'
import type { BucketRecord, HandOver, HandOverResult } from './GrantMessages'
import type { HandOverOffered } from './LimitsEvent'
import type { Bucket } from './LimitsState'
import { startSweep } from './refillBucket'

/**
 * Decides whether to accept a partition that its owner offers, and installs it. A repeated offer is confirmed without
 * being installed again, because its tokens may have been spent.
 *
 * @param state - the node's state
 * @param event - the offer
 * @returns effects: the answer, and the effects of the new assignment entry
 * @internal
 */
export function acceptHandOver (state: NodeState, { callId, handOver }: HandOverOffered): NodeEffect[] {
  const result = evaluateOffer(state, handOver)
  const answer: NodeEffect = { slice: 'limits', type: 'answerHandOver', callId, result: result ?? 'confirmed' }
  if (result !== undefined) return [answer]
  installPartition(state, handOver)
  const effects: NodeEffect[] = [answer]
  startSweep(state, effects)
  return [...effects, ...applyAssignmentEntry(state, handOver.entry)]
}

/** @returns the answer, or undefined when the partition is to be installed */
function evaluateOffer (state: NodeState, { entry }: HandOver): HandOverResult | undefined {
  const key = assignmentKey(entry.partition, entry.domain)
  const current = state.control.assignment.get(key)
  const owned = state.limits.owned.get(key)
  if (current !== undefined && current.epoch > entry.epoch) return 'superseded'
  // An earlier copy of this offer was installed; the partition may have been handed over to another node since.
  if (current !== undefined && !supersedes(entry, current)) return 'confirmed'
  if (owned !== undefined && !supersedes(entry, owned.entry)) return 'confirmed'
  const refused = state.limits.refusedOffers.get(key)
  // After the refusal, the old owner offers the partition to another successor.
  if (refused !== undefined && !supersedes(entry, refused)) return 'refused'
  if (!state.limits.leaving && isFresh(state)) return undefined
  state.limits.refusedOffers.set(key, entry)
  return 'refused'
}

function installPartition (state: NodeState, { entry, openFor, buckets }: HandOver): void {
  state.limits.owned.set(assignmentKey(entry.partition, entry.domain), {
    entry,
    opensAt: millis(state.now - openFor),
    buckets: new Map(buckets.map((record) => [record.team, installBucket(state, record)]))
  })
}

/** The transit time of the message does not refill the bucket and extends each expiry, so that nothing counts twice. */
function installBucket (state: NodeState, { grants, ...rest }: BucketRecord): Bucket {
  const bucket: Bucket = { ...rest, refilledAt: state.now, grants: new Map(), pending: [] }
  const never = millis(-Infinity)
  for (const { holder, share, room, number, demand, remaining } of grants) {
    const expiresAt = addMillis(state.now, remaining)
    bucket.grants.set(holder, { share, room, number, demand, expiresAt, lastShortageAt: never, recalledAt: never })
  }
  state.limits.touched.buckets.add(bucket)
  return bucket
}
