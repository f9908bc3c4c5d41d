import { addMillis, type Millis, millis, type NodeId, type TimerId, toId } from '@lavenderturn/types'
import { assignmentKey } from '../control/Assignment'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import type { GrantRequest, GrantDenial, GrantReply } from './GrantMessages'
import { TOKEN_TOLERANCE } from './heldGrants'
import type { Bucket, OwnedPartition, PendingGrantRequest } from './LimitsState'

/**
 * Checks whether a grant request is next in line and can be served. Fewer tokens than one request lacks stay with the
 * owner: split among gateways, they would serve no request.
 *
 * @param bucket - a refilled bucket
 * @param request - a grant request
 * @returns whether there are tokens for at least one of its waiting requests, or it has none
 * @internal
 */
export function canServe (bucket: Bucket, request: GrantRequest): boolean {
  const isNext = bucket.pending.length === 0 || bucket.pending[0]!.ask === request
  return request.waiting === 0 || (isNext && bucket.level >= countRequiredTokens(bucket, request) - TOKEN_TOLERANCE)
}

function countRequiredTokens ({ burst }: Bucket, { waiting }: GrantRequest): number {
  return Math.min(waiting, 1, burst)
}

/**
 * @param bucket - a refilled bucket
 * @param now - current time
 * @returns the first pending grant request, removed from the queue, if it can be served or has reached its deadline
 * @internal
 */
export function dequeueServable (bucket: Bucket, now: Millis): PendingGrantRequest | undefined {
  const first = bucket.pending[0]
  if (first === undefined || (first.deadline > now && !canServe(bucket, first.ask))) return undefined
  return bucket.pending.shift()
}

/**
 * @param pending - a pending grant request
 * @param reply - its answer
 * @returns the effect that sends the answer
 * @internal
 */
export function answerPending ({ callId }: PendingGrantRequest, reply: GrantReply): NodeEffect {
  if (callId === undefined) return raise({ slice: 'limits', type: 'askAnswered', reply })
  return { slice: 'limits', type: 'answerAsk', callId, reply }
}

/**
 * @param request - a grant request
 * @returns the answer that denies it
 * @internal
 */
export function createDenial ({ team, domain, holder, number }: GrantRequest): GrantDenial {
  return { kind: 'denied', team, domain, holder, number }
}

/**
 * Removes and denies the pending grant request of a holder that has sent a newer one.
 *
 * @param bucket - the bucket
 * @param holder - the holder
 * @returns effects: the answer to the earlier request, which the holder ignores
 * @internal
 */
export function denySuperseded (bucket: Bucket, holder: NodeId): NodeEffect[] {
  const index = bucket.pending.findIndex(({ ask }) => ask.holder === holder)
  return index < 0 ? [] : bucket.pending.splice(index, 1).map((old) => answerPending(old, createDenial(old.ask)))
}

/**
 * Denies all pending grant requests of a partition, when its owner can no longer serve them.
 *
 * @param owned - the partition
 * @returns effects: the answers
 * @internal
 */
export function denyAllPending (owned: OwnedPartition): NodeEffect[] {
  const effects: NodeEffect[] = []
  for (const { pending } of owned.buckets.values()) {
    for (const request of pending.splice(0)) effects.push(answerPending(request, createDenial(request.ask)))
  }
  return effects
}

/**
 * Sets the timer for when the first pending grant request may be served or reaches its deadline.
 *
 * @param state - the node's state
 * @param owned - the partition
 * @param bucket - a refilled bucket
 * @param effects - receives the timer
 * @internal
 */
export function scheduleBucket (state: NodeState, owned: OwnedPartition, bucket: Bucket, effects: NodeEffect[]): void {
  const { partition, domain } = owned.entry
  const key = assignmentKey(partition, domain)
  const id = toId<TimerId>(`bucket/${key}/${bucket.team}`)
  const first = bucket.pending[0]
  if (first === undefined) {
    effects.push({ slice: 'timer', type: 'clear', id })
    return
  }
  const due = Math.min(first.deadline, findRefillTime(state, bucket, first.ask), ...listExpiries(bucket))
  effects.push({
    slice: 'timer',
    type: 'set',
    id,
    delay: millis(Math.max(1, Math.ceil(due - state.now))),
    event: { slice: 'limits', type: 'bucketDue', key, team: bucket.team }
  })
}

function findRefillTime (state: NodeState, bucket: Bucket, request: GrantRequest): number {
  const required = countRequiredTokens(bucket, request)
  const rate = bucket.share * bucket.rate
  if (rate <= 0 || bucket.room * bucket.burst < required) return Infinity
  return addMillis(state.now, millis((required - bucket.level) * 1_000 / rate))
}

function listExpiries ({ grants }: Bucket): Millis[] {
  return [...grants.values()].filter(({ share, room }) => share > 0 || room > 0).map(({ expiresAt }) => expiresAt)
}
