import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { AnswerFault, BackendEffect } from './BackendEffect'
import type { BackendEvent } from './BackendEvent'
import { type BackendRequest, type BackendState, MAX_RECORDED_REQUESTS } from './BackendState'

/** Delay of a late response after its deadline. */
const LATE_DELAY_MS = 200

/** Deadline of requests without a deadline header. */
const DEFAULT_DEADLINE_MS = 5_000

/** Largest relative deviation of a service time from the mean. */
const SERVICE_TIME_SPREAD = 0.2

/** Number of load samples that are kept for delayed load reports. */
const MAX_LOAD_SAMPLES = 2_000

/**
 * Applies one event to the state and decides which requests run and which faults occur.
 *
 * @param state - the state, updated in place
 * @param event - what happened
 * @returns the effects to run
 * @public
 */
export function reduceBackend (state: BackendState, event: BackendEvent): BackendEffect[] {
  switch (event.type) {
    case 'requestReceived': return receive(state, event)
    case 'bodyReceived': return run(state, event)
    case 'serviceEnded': return answer(state, event)
    case 'requestClosed': return close(state, event)
    case 'modesSet':
      state.modes = { ...state.modes, ...event.modes }
      return []
    case 'drainCommanded': return changePhase(state, 'draining')
    case 'serveCommanded': return changePhase(state, 'serving')
    case 'leaveCommanded': return [...changePhase(state, 'leaving'), ...exitWhenIdle(state)]
    case 'crashCommanded': return crash(state)
    case 'restarted': return restart(state)
    case 'announceDue': return announce(state)
  }
}

/**
 * Draws whether a random fault occurs.
 *
 * @param state - the state, whose generator advances
 * @param rate - probability in `[0, 1]`
 * @returns whether the fault occurs
 */
function drawOccurrence (state: BackendState, rate: number): boolean {
  return rate > 0 && uniformFloat64(state.random) < rate
}

function receive (state: BackendState, event: Extract<BackendEvent, { type: 'requestReceived' }>): BackendEffect[] {
  const request = createRequest(event)
  recordRequest(state, request)
  if (drawOccurrence(state, state.modes.silentRate)) {
    request.phase = 'muted'
    return [{ type: 'mute', id: request.id }]
  }
  if (state.inFlight >= state.config.slots || drawOccurrence(state, state.modes.shedRate)) return shed(state, request)
  state.inFlight += 1
  state.mostInFlight = Math.max(state.mostInFlight, state.inFlight)
  sampleLoad(state, event.at)
  if (isOverloaded(state)) return crash(state)
  return event.expectsContinue ? [{ type: 'continue', id: request.id }] : []
}

function createRequest (event: Extract<BackendEvent, { type: 'requestReceived' }>): BackendRequest {
  const { id, method, path, headers } = event
  const bytes = new URLSearchParams(path.split('?', 2)[1]).get('bytes')
  return {
    id,
    method,
    path,
    headers,
    attempt: readText(headers['lavenderturn-attempt']),
    idempotencyKey: readText(headers['idempotency-key']),
    deadlineMs: readNumber(headers['lavenderturn-deadline']),
    answerBytes: bytes === null ? undefined : Number(bytes),
    phase: 'receiving',
    bodyBytes: 0
  }
}

function readText (value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined
}

function readNumber (value: string | string[] | undefined): number | undefined {
  return typeof value === 'string' && Number.isFinite(Number(value)) ? Number(value) : undefined
}

function recordRequest ({ requests }: BackendState, request: BackendRequest): void {
  requests.set(request.id, request)
  if (requests.size > MAX_RECORDED_REQUESTS) requests.delete(requests.keys().next().value!)
}

function shed (state: BackendState, request: BackendRequest): BackendEffect[] {
  request.phase = 'shed'
  return [{
    type: 'answer',
    id: request.id,
    status: 503,
    headers: { ...makeIdentityHeaders(state, request), 'lavenderturn-not-run': 'true' },
    fault: 'none'
  }]
}

function run (state: BackendState, { id, bytes }: Extract<BackendEvent, { type: 'bodyReceived' }>): BackendEffect[] {
  const request = state.requests.get(id)
  if (request?.phase !== 'receiving') return []
  request.phase = 'running'
  request.bodyBytes = bytes
  state.runs += 1
  if (request.idempotencyKey !== undefined) {
    state.runsByKey.set(request.idempotencyKey, (state.runsByKey.get(request.idempotencyKey) ?? 0) + 1)
  }
  const { crashPath } = state.modes
  if (crashPath !== '' && request.path.startsWith(crashPath)) return crash(state)
  return [{ type: 'serve', id, delayMs: drawServiceTime(state, request) }]
}

function drawServiceTime (state: BackendState, request: BackendRequest): number {
  const { serviceTimeMs, coldFactor } = state.config
  if (drawOccurrence(state, state.modes.lateRate)) return (request.deadlineMs ?? DEFAULT_DEADLINE_MS) + LATE_DELAY_MS
  const spread = 1 + SERVICE_TIME_SPREAD * (2 * uniformFloat64(state.random) - 1)
  const cold = 1 + (coldFactor - 1) * (1 - computeWarmUpProgress(state))
  return serviceTimeMs * spread * cold * state.modes.slowFactor
}

/** @returns progress of the warm-up: 0 right after the start, 1 when warm */
function computeWarmUpProgress ({ config, runsSinceBoot }: BackendState): number {
  return config.warmRuns === 0 ? 1 : Math.min(1, runsSinceBoot / config.warmRuns)
}

function isOverloaded (state: BackendState): boolean {
  if (!state.config.crashesWhenOverloaded) return false
  const capacity = Math.max(1, Math.ceil(state.config.slots * computeWarmUpProgress(state)))
  return state.inFlight > 2 * capacity
}

function answer (state: BackendState, { id, at }: Extract<BackendEvent, { type: 'serviceEnded' }>): BackendEffect[] {
  const request = state.requests.get(id)
  if (request?.phase !== 'running') return []
  request.phase = 'answered'
  release(state, at)
  state.runsSinceBoot += 1
  const isFlapFailing = state.modes.flapPeriodMs > 0 && Math.floor(at / state.modes.flapPeriodMs) % 2 === 1
  const status = isFlapFailing || drawOccurrence(state, state.modes.errorRate) ? 500 : 200
  const fault = drawFault(state)
  const headers = { ...makeIdentityHeaders(state, request) }
  if (fault === 'crossed') headers['lavenderturn-attempt'] = state.latestAttempt ?? 'another-attempt'
  state.latestAttempt = request.attempt
  return [{ type: 'answer', id, status, headers, fault, bytes: request.answerBytes }, ...exitWhenIdle(state)]
}

function drawFault (state: BackendState): AnswerFault {
  if (drawOccurrence(state, state.modes.truncateRate)) return 'truncated'
  if (drawOccurrence(state, state.modes.closeDelimitedRate)) return 'closeDelimited'
  return drawOccurrence(state, state.modes.crossRate) ? 'crossed' : 'none'
}

function makeIdentityHeaders (state: BackendState, { attempt }: BackendRequest): Record<string, string> {
  return {
    'lavenderturn-boot': state.bootId, ...(attempt === undefined ? {} : { 'lavenderturn-attempt': attempt })
  }
}

function close (state: BackendState, { id, at }: Extract<BackendEvent, { type: 'requestClosed' }>): BackendEffect[] {
  const request = state.requests.get(id)
  if (request?.phase !== 'receiving' && request?.phase !== 'running') return []
  request.phase = 'cancelled'
  release(state, at)
  return exitWhenIdle(state)
}

function release (state: BackendState, at: number): void {
  state.inFlight -= 1
  sampleLoad(state, at)
}

function sampleLoad (state: BackendState, at: number): void {
  state.loadHistory.push({ at, inFlight: state.inFlight })
  if (state.loadHistory.length > MAX_LOAD_SAMPLES) state.loadHistory.shift()
}

function changePhase (state: BackendState, phase: 'serving' | 'draining' | 'leaving'): BackendEffect[] {
  if (state.phase === 'dead') return []
  state.phase = phase
  return [{ type: 'announce', state: phase }]
}

function exitWhenIdle (state: BackendState): BackendEffect[] {
  return state.phase === 'leaving' && state.inFlight === 0 ? [{ type: 'exit' }] : []
}

function crash (state: BackendState): BackendEffect[] {
  if (state.phase === 'dead') return []
  state.phase = 'dead'
  for (const request of state.requests.values()) {
    if (request.phase === 'receiving' || request.phase === 'running') request.phase = 'cancelled'
  }
  state.inFlight = 0
  return [{ type: 'crash' }]
}

function restart (state: BackendState): BackendEffect[] {
  state.boots += 1
  state.bootId = `${state.bootPrefix}-${state.config.seed}-${state.boots}`
  state.phase = 'serving'
  state.runsSinceBoot = 0
  return [{ type: 'announce', state: 'serving' }]
}

function announce ({ phase }: BackendState): BackendEffect[] {
  return phase === 'dead' ? [] : [{ type: 'announce', state: phase }]
}
