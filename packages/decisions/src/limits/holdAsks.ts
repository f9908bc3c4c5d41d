import { addMillis, type Millis, millis, type NodeId, type TimerId, toId } from '@lavenderturn/types'
import { assignmentKey } from '../control/Assignment'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import type { GrantAsk, GrantDenial, GrantReply } from './GrantMessages'
import { TOKEN_TOLERANCE } from './holdGrants'
import type { Bucket, HeldAsk, OwnedPartition } from './LimitsState'

/**
 * Tells whether an ask can be served before those that wait. Less than what one request lacks stays with the owner:
 * spread over gateways it would serve nobody.
 *
 * @param bucket - a settled bucket
 * @param ask - an ask for waiting requests
 * @returns whether there are tokens for at least one of them
 * @internal
 */
export function hasTokens (bucket: Bucket, ask: GrantAsk): boolean {
  const isNext = bucket.held.length === 0 || bucket.held[0]!.ask === ask
  return ask.waiting === 0 || (isNext && bucket.level >= leastTokens(bucket, ask) - TOKEN_TOLERANCE)
}

function leastTokens ({ burst }: Bucket, { waiting }: GrantAsk): number {
  return Math.min(waiting, 1, burst)
}

/**
 * @param bucket - a settled bucket
 * @param now - present time
 * @returns the first waiting ask if it can be served or its time is up; it is taken out
 * @internal
 */
export function takeServable (bucket: Bucket, now: Millis): HeldAsk | undefined {
  const first = bucket.held[0]
  if (first === undefined || (first.until > now && !hasTokens(bucket, first.ask))) return undefined
  return bucket.held.shift()
}

/**
 * @param held - an ask that waited
 * @param reply - its answer
 * @returns the effect that answers it
 * @internal
 */
export function answerHeld ({ callId }: HeldAsk, reply: GrantReply): NodeEffect {
  if (callId === undefined) return raise({ slice: 'limits', type: 'askAnswered', reply })
  return { slice: 'limits', type: 'answerAsk', callId, reply }
}

/**
 * @param ask - the ask
 * @returns the answer of a node that cannot decide on it
 * @internal
 */
export function denyAsk ({ team, domain, holder, number }: GrantAsk): GrantDenial {
  return { kind: 'denied', team, domain, holder, number }
}

/**
 * Drops the ask that a holder sent before another one.
 *
 * @param bucket - the bucket
 * @param holder - the holder
 * @returns effects: the answer to the earlier ask, which the holder ignores
 * @internal
 */
export function dropHeld (bucket: Bucket, holder: NodeId): NodeEffect[] {
  const index = bucket.held.findIndex(({ ask }) => ask.holder === holder)
  return index < 0 ? [] : bucket.held.splice(index, 1).map((held) => answerHeld(held, denyAsk(held.ask)))
}

/**
 * Denies all asks that wait, as a node does that stops to be the owner.
 *
 * @param owned - the partition
 * @returns effects: the answers
 * @internal
 */
export function denyHeld (owned: OwnedPartition): NodeEffect[] {
  const effects: NodeEffect[] = []
  for (const { held } of owned.buckets.values()) {
    for (const waiting of held.splice(0)) effects.push(answerHeld(waiting, denyAsk(waiting.ask)))
  }
  return effects
}

/**
 * Sets the timer for the time at which the first waiting ask can be served, or is up.
 *
 * @param state - the node's state
 * @param owned - the partition
 * @param bucket - a settled bucket
 * @param effects - receives the timer
 * @internal
 */
export function scheduleBucket (state: NodeState, owned: OwnedPartition, bucket: Bucket, effects: NodeEffect[]): void {
  const { partition, domain } = owned.entry
  const key = assignmentKey(partition, domain)
  const id = toId<TimerId>(`bucket/${key}/${bucket.team}`)
  const first = bucket.held[0]
  if (first === undefined) {
    effects.push({ slice: 'timer', type: 'clear', id })
    return
  }
  const due = Math.min(first.until, fillTime(state, bucket, first.ask), ...listExpiries(bucket))
  effects.push({
    slice: 'timer',
    type: 'set',
    id,
    delay: millis(Math.max(1, Math.ceil(due - state.now))),
    event: { slice: 'limits', type: 'bucketDue', key, team: bucket.team }
  })
}

function fillTime (state: NodeState, bucket: Bucket, ask: GrantAsk): number {
  const least = leastTokens(bucket, ask)
  const rate = bucket.share * bucket.rate
  if (rate <= 0 || bucket.room * bucket.burst < least) return Infinity
  return addMillis(state.now, millis((least - bucket.level) * 1_000 / rate))
}

function listExpiries ({ grants }: Bucket): Millis[] {
  return [...grants.values()].filter(({ share, room }) => share > 0 || room > 0).map(({ expiresAt }) => expiresAt)
}
