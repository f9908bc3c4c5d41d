import { addMillis, type Millis, millis } from '@lavenderturn/types'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { LoadEffect, LoadEvent, LoadOutcome } from './LoadEvent'
import type { LoadStream } from './LoadPlan'
import type { LoadState, StreamState } from './LoadState'

const MS_PER_SECOND = 1_000
const US_PER_MS = 1_000

/** Limit of the individually recorded requests that were not answered, per stream. */
const MAX_NOT_ANSWERED = 10_000

/**
 * Schedules requests and collects their results. The load is open-loop: a slow response does not delay the next
 * request.
 *
 * @param state - state, updated in place
 * @param event - event to apply
 * @returns the effects to run
 * @public
 */
export function reduceLoad (state: LoadState, event: LoadEvent): LoadEffect[] {
  switch (event.type) {
    case 'started': return startStreams(state, event.at)
    case 'due': return sendDueRequest(state, event.stream)
    case 'ended': return recordOutcome(state, event)
  }
}

function startStreams (state: LoadState, at: Millis): LoadEffect[] {
  state.startedAt = at
  return state.streams.flatMap((stream, index) => {
    stream.nextDue = addMillis(at, drawInterval(state, index))
    return scheduleOrFinish(state, index)
  })
}

function sendDueRequest (state: LoadState, index: number): LoadEffect[] {
  const stream = state.streams[index]!
  const effects: LoadEffect[] = []
  if (stream.inFlight < state.plan.maxInFlight) effects.push(send(state, index, stream))
  else stream.notSent += 1
  stream.nextDue = addMillis(stream.nextDue, drawInterval(state, index))
  return effects.concat(scheduleOrFinish(state, index))
}

function send (state: LoadState, index: number, stream: StreamState): LoadEffect {
  const sequence = stream.sent++
  stream.inFlight += 1
  stream.dueAt.set(sequence, stream.nextDue)
  return { type: 'send', stream: index, sequence, target: pickTarget(state, state.plan.streams[index]!) }
}

function recordOutcome (
  state: LoadState,
  { at, stream: index, sequence, outcome }: Extract<LoadEvent, { type: 'ended' }>
): LoadEffect[] {
  const stream = state.streams[index]!
  const dueAt = stream.dueAt.get(sequence)
  if (dueAt === undefined) return []
  stream.dueAt.delete(sequence)
  stream.inFlight -= 1
  const name = formatOutcome(outcome)
  stream.outcomes.set(name, (stream.outcomes.get(name) ?? 0) + 1)
  if (outcome.kind === 'answered') stream.latency.recordValue(Math.max(1, Math.round((at - dueAt) * US_PER_MS)))
  else if (stream.notAnswered.length < MAX_NOT_ANSWERED) stream.notAnswered.push({ at, outcome })
  return isFinished(state) ? [{ type: 'finish' }] : []
}

function scheduleOrFinish (state: LoadState, index: number): LoadEffect[] {
  const { nextDue } = state.streams[index]!
  if (!isPastEnd(state, nextDue)) return [{ type: 'wait', stream: index, until: nextDue }]
  return isFinished(state) ? [{ type: 'finish' }] : []
}

function isFinished (state: LoadState): boolean {
  return state.streams.every(({ inFlight, nextDue }) => inFlight === 0 && isPastEnd(state, nextDue))
}

function isPastEnd ({ startedAt, plan }: LoadState, at: Millis): boolean {
  return at - startedAt >= plan.duration
}

function drawInterval (state: LoadState, index: number): Millis {
  const { ratePerSecond, arrival } = state.plan.streams[index]!
  const meanInterval = MS_PER_SECOND / ratePerSecond
  return millis(arrival === 'even' ? meanInterval : -meanInterval * Math.log(1 - uniformFloat64(state.random)))
}

function pickTarget ({ random }: LoadState, { targets }: LoadStream): number {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = uniformFloat64(random) * total
  const index = targets.findIndex(({ weight }) => (remaining -= weight) < 0)
  return index < 0 ? targets.length - 1 : index
}

/**
 * @param outcome - outcome of a request
 * @returns for example `answered 200`, `refused 1429` or `failed`
 * @public
 */
export function formatOutcome ({ kind, status, code }: LoadOutcome): string {
  const detail = kind === 'refused' ? code : status
  return detail === undefined ? kind : `${kind} ${detail}`
}
