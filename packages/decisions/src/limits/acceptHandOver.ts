import { addMillis, millis } from '@lavenderturn/types'
import { assignmentKey, supersedes } from '../control/Assignment'
import { isFresh } from '../control/isFresh'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { adoptEntry } from './adoptEntry'
import type { BucketRecord, HandOver, HandOverResult } from './GrantMessages'
import type { HandOverOffered } from './LimitsEvent'
import type { Bucket } from './LimitsState'
import { startSweep } from './settleBucket'

/**
 * Decides on a partition that its owner offers, and installs it. A repeated offer is confirmed without being
 * installed again: its tokens may have been spent.
 *
 * @param state - the node's state
 * @param event - the offer
 * @returns effects: the answer, and what follows from the new entry
 * @internal
 */
export function acceptHandOver (state: NodeState, { callId, handOver }: HandOverOffered): NodeEffect[] {
  const result = judgeOffer(state, handOver)
  const answer: NodeEffect = { slice: 'limits', type: 'answerHandOver', callId, result: result ?? 'confirmed' }
  if (result !== undefined) return [answer]
  installPartition(state, handOver)
  const effects: NodeEffect[] = [answer]
  startSweep(state, effects)
  return [...effects, ...adoptEntry(state, handOver.entry)]
}

/** @returns the answer, or undefined when the partition is to be installed */
function judgeOffer (state: NodeState, { entry }: HandOver): HandOverResult | undefined {
  const key = assignmentKey(entry.partition, entry.domain)
  const known = state.control.assignment.get(key)
  const owned = state.limits.owned.get(key)
  if (known !== undefined && known.epoch > entry.epoch) return 'superseded'
  // Installed by an earlier copy of this offer, and perhaps handed over to yet another node since.
  if (known !== undefined && !supersedes(entry, known)) return 'confirmed'
  if (owned !== undefined && !supersedes(entry, owned.entry)) return 'confirmed'
  const refused = state.limits.refusedOffers.get(key)
  // The old owner has turned to another successor after a refusal.
  if (refused !== undefined && !supersedes(entry, refused)) return 'refused'
  if (!state.limits.leaving && isFresh(state)) return undefined
  state.limits.refusedOffers.set(key, entry)
  return 'refused'
}

function installPartition (state: NodeState, { entry, openFor, buckets }: HandOver): void {
  state.limits.owned.set(assignmentKey(entry.partition, entry.domain), {
    entry,
    openAt: millis(state.now - openFor),
    buckets: new Map(buckets.map((record) => [record.team, installBucket(state, record)]))
  })
}

/** The time that the message took is lost to fill and added to expiry, so that nothing is counted twice. */
function installBucket (state: NodeState, { grants, ...rest }: BucketRecord): Bucket {
  const bucket: Bucket = { ...rest, filledAt: state.now, grants: new Map(), held: [] }
  const never = millis(-Infinity)
  for (const { holder, share, room, number, demand, remaining } of grants) {
    const expiresAt = addMillis(state.now, remaining)
    bucket.grants.set(holder, { share, room, number, demand, expiresAt, starvedAt: never, recalledAt: never })
  }
  state.limits.touched.buckets.add(bucket)
  return bucket
}
