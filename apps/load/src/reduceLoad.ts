import { addMillis, type Millis, millis } from '@lavenderturn/types'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { LoadEffect, LoadEvent, LoadOutcome } from './LoadEvent'
import type { LoadStream } from './LoadPlan'
import type { LoadState, StreamState } from './LoadState'

const MS_PER_SECOND = 1_000
const US_PER_MS = 1_000

/** Ended requests other than answered that are kept one by one, for each stream. */
const NOT_ANSWERED_LIMIT = 10_000

/**
 * Decides when the load tool sends which request, and keeps the results. The load is open: a slow answer does not hold
 * back the next request.
 *
 * @param state - updated in place
 * @param event - what happened
 * @returns effects
 * @public
 */
export function reduceLoad (state: LoadState, event: LoadEvent): LoadEffect[] {
  switch (event.type) {
    case 'started': return startStreams(state, event.at)
    case 'due': return sendDue(state, event.stream)
    case 'ended': return recordEnd(state, event)
  }
}

function startStreams (state: LoadState, at: Millis): LoadEffect[] {
  state.startedAt = at
  return state.streams.flatMap((stream, index) => {
    stream.nextDue = addMillis(at, drawGap(state, index))
    return waitOrFinish(state, index)
  })
}

function sendDue (state: LoadState, index: number): LoadEffect[] {
  const stream = state.streams[index]!
  const effects: LoadEffect[] = []
  if (stream.inFlight < state.plan.maxInFlight) effects.push(send(state, index, stream))
  else stream.notSent += 1
  stream.nextDue = addMillis(stream.nextDue, drawGap(state, index))
  return effects.concat(waitOrFinish(state, index))
}

function send (state: LoadState, index: number, stream: StreamState): LoadEffect {
  const sequence = stream.sent++
  stream.inFlight += 1
  stream.dueAt.set(sequence, stream.nextDue)
  return { type: 'send', stream: index, sequence, target: drawTarget(state, state.plan.streams[index]!) }
}

function recordEnd (
  state: LoadState,
  { at, stream: index, sequence, outcome }: Extract<LoadEvent, { type: 'ended' }>
): LoadEffect[] {
  const stream = state.streams[index]!
  const dueAt = stream.dueAt.get(sequence)
  if (dueAt === undefined) return []
  stream.dueAt.delete(sequence)
  stream.inFlight -= 1
  const name = nameOutcome(outcome)
  stream.outcomes.set(name, (stream.outcomes.get(name) ?? 0) + 1)
  if (outcome.kind === 'answered') stream.latency.recordValue(Math.max(1, Math.round((at - dueAt) * US_PER_MS)))
  else if (stream.notAnswered.length < NOT_ANSWERED_LIMIT) stream.notAnswered.push({ at, outcome })
  return isFinished(state) ? [{ type: 'finish' }] : []
}

function waitOrFinish (state: LoadState, index: number): LoadEffect[] {
  const { nextDue } = state.streams[index]!
  if (!isOver(state, nextDue)) return [{ type: 'wait', stream: index, until: nextDue }]
  return isFinished(state) ? [{ type: 'finish' }] : []
}

function isFinished (state: LoadState): boolean {
  return state.streams.every(({ inFlight, nextDue }) => inFlight === 0 && isOver(state, nextDue))
}

function isOver ({ startedAt, plan }: LoadState, at: Millis): boolean {
  return at - startedAt >= plan.duration
}

function drawGap (state: LoadState, index: number): Millis {
  const { ratePerSecond, arrival } = state.plan.streams[index]!
  const mean = MS_PER_SECOND / ratePerSecond
  return millis(arrival === 'even' ? mean : -mean * Math.log(1 - uniformFloat64(state.random)))
}

function drawTarget ({ random }: LoadState, { targets }: LoadStream): number {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0)
  let rest = uniformFloat64(random) * total
  const index = targets.findIndex(({ weight }) => (rest -= weight) < 0)
  return index < 0 ? targets.length - 1 : index
}

/**
 * @param outcome - how a request ended
 * @returns `answered 200`, `refused 1429`, `failed`
 * @public
 */
export function nameOutcome ({ kind, status, code }: LoadOutcome): string {
  const detail = kind === 'refused' ? code : status
  return detail === undefined ? kind : `${kind} ${detail}`
}
