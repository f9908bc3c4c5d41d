import { millis, type Millis, type RouteId, toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import {
  CALL_FAILURE_WINDOW, FAILED_TRIAL_BACKOFF, MAX_TRIAL_BACKOFF, MIN_TRIAL_INTERVAL, RESULT_RETENTION
} from './admissionTimings'
import type { ServerNotice, StreamClosed, WorkEnded, WorkOutcome } from './AdmissionEvent'
import type { LocalServer, Reservation, Work } from './AdmissionState'
import { closeServer } from './closeServer'
import { findBaselineErrorRate } from './findBaselineErrorRate'
import type { RequestEvidence } from './GrayFailureDetector'
import { rejectQueued } from './rejectQueued'
import { canRepeatWork, repeatWork } from './repeatWork'
import { reportCrash } from './reportCrash'
import { recordVersionResult } from '../rollout/recordVersionResult'
import { grantQueued } from './grantQueued'
import { endSuspicion, startSuspicion } from './suspicion'

/** Weight of the latest sample in the moving average of the service time. */
const SERVICE_TIME_WEIGHT = 0.2

/** Weight of the latest result in the moving average of the error rate. */
const ERROR_RATE_WEIGHT = 0.08

/** Largest number of broken runs to keep. Servers have fewer slots than this. */
const MAX_BROKEN_RUNS = 32

/**
 * Handles the end of an exchange with the backend server and delivers the result.
 *
 * @param state - the node's state
 * @param event - the end of the exchange
 * @returns effects
 * @internal
 */
export function endWork (state: MeshState, { reservation: id, outcome, notice }: WorkEnded): MeshEffect[] {
  const { admission } = state
  const reservation = admission.reservations.get(id)
  if (reservation?.work === undefined || reservation.phase !== 'running') return []
  const { work } = reservation
  recordBrokenRun(state, work, outcome)
  if (canRepeatWork(state, reservation, outcome)) return repeatWork(state, reservation)
  recordServiceTime(state, work, outcome)
  recordVersionResult(state, reservation, { outcome, isCausedByCall: isCausedByCall(state) })
  const effects: MeshEffect[] = [
    { slice: 'timer', type: 'clear', id: toId(`overdue/${id}`) },
    logWorkEnd(state, reservation, outcome)
  ]
  if (notice !== undefined) effects.push(...applyNotice(state, work, notice))
  effects.push(...applyOutcome(state, outcome))
  effects.push(...retainResult(state, reservation, outcome))
  return effects.concat(grantQueued(state))
}

/**
 * Handles the end of a response that was passed on while it was read. If the server broke it off, its caller has got a
 * part of it and a closed connection, and the server counts as faulty.
 *
 * @param state - the node's state
 * @param event - the end of the response
 * @returns effects
 * @internal
 */
export function endStream (state: MeshState, { reservation, callerRequestId, isBroken }: StreamClosed): MeshEffect[] {
  const { admission } = state
  admission.openStreams -= 1
  if (!isBroken) return []
  const fields = { request: callerRequestId, reservation, endpoint: admission.server?.endpoint }
  return [
    { slice: 'log', type: 'line', level: 'info', message: 'backend server broke off a response', fields },
    ...recordResult(state, 'error')
  ]
}

/**
 * Records evidence for or against a gray failure. If the server becomes suspect, its queued reservations are rejected
 * unless they accept suspect servers or can be retried.
 *
 * @param state - the node's state
 * @param evidence - the evidence
 * @returns effects
 * @internal
 */
export function observeEvidence (state: MeshState, evidence: RequestEvidence): MeshEffect[] {
  const { admission, now, policies: { grayFailureDetector } } = state
  scheduleTrial(state, evidence)
  const wasSuspect = grayFailureDetector.isSuspect(admission.grayFailure, now)
  grayFailureDetector.observe(admission.grayFailure, evidence, { now, baselineErrorRate: findBaselineErrorRate(state) })
  const isSuspect = grayFailureDetector.isSuspect(admission.grayFailure, now)
  if (wasSuspect === isSuspect) return []
  const effects = [isSuspect ? startSuspicion(state, evidence) : endSuspicion(state, evidence)]
  if (!isSuspect) return effects
  return effects.concat(rejectQueued(state, 'suspect', ({ canRetry, acceptSuspect }) => !canRetry && !acceptSuspect))
}

function scheduleTrial ({ admission, now }: MeshState, evidence: RequestEvidence): void {
  if (evidence === 'success') {
    admission.consecutiveFailures = 0
    admission.nextTrialAt = millis(now + MIN_TRIAL_INTERVAL)
    return
  }
  const backoff = Math.min(MAX_TRIAL_BACKOFF, FAILED_TRIAL_BACKOFF * 2 ** (admission.consecutiveFailures - 1))
  admission.nextTrialAt = millis(now + (admission.consecutiveFailures === 0 ? MIN_TRIAL_INTERVAL : backoff))
  admission.consecutiveFailures += 1
}

function logWorkEnd (
  { admission, now }: MeshState,
  { id, work, repeatable, isTrial }: Reservation,
  outcome: WorkOutcome
): MeshEffect {
  const { failed, status } = outcome.kind === 'answered' ? outcome : {}
  const request = work!.callerRequestId
  const reason = outcome.kind === 'broken' ? outcome.reason : undefined
  const elapsedMs = Math.round(now - work!.startedAt)
  const { lastCallFailureAt } = admission
  const sinceCallFailureMs = lastCallFailureAt === undefined ? undefined : Math.round(now - lastCallFailureAt)
  const endpoint = admission.server?.endpoint
  return {
    slice: 'log',
    type: 'line',
    level: outcome.kind === 'answered' && !outcome.failed ? 'debug' : 'info',
    message: 'work ended',
    fields: {
      request,
      reservation: id,
      endpoint,
      route: work!.route,
      repeatable,
      outcome: outcome.kind,
      failed,
      status,
      reason,
      trial: isTrial,
      sinceCallFailureMs: failed === true ? sinceCallFailureMs : undefined,
      elapsedMs,
      meanServiceMs: Math.round(admission.serviceMs)
    }
  }
}

/** Remembers a run whose connection broke: the request may have crashed the server. */
function recordBrokenRun ({ admission, now }: MeshState, { fingerprint }: Work, outcome: WorkOutcome): void {
  if (outcome.kind !== 'broken' || (outcome.reason !== 'reset' && outcome.reason !== 'staleConnection')) return
  admission.lastDisruptionAt = now
  admission.brokenRuns.push({ fingerprint, at: now })
  if (admission.brokenRuns.length > MAX_BROKEN_RUNS) admission.brokenRuns.shift()
}

function recordServiceTime ({ admission, now }: MeshState, { route, startedAt }: Work, outcome: WorkOutcome): void {
  if (outcome.kind !== 'answered' || outcome.failed) return
  const serviceMs = now - startedAt
  admission.lastSuccessAt = now
  admission.serviceMs = updateMean(admission.serviceMs, serviceMs)
  admission.routeTimes.set(route, updateMean(admission.routeTimes.get(route) ?? 0, serviceMs))
}

function updateMean (mean: number, sample: number): number {
  return mean === 0 ? sample : mean + (sample - mean) * SERVICE_TIME_WEIGHT
}

/** Applies what the server said about itself, unless another incarnation has announced itself since. */
function applyNotice (state: MeshState, { server }: Work, notice: ServerNotice): MeshEffect[] {
  const { leaving, requestLimit } = notice
  if (server !== state.admission.server) return []
  server.isLimitKnown = true
  const effects = applyRequestLimit(state, server, requestLimit)
  if (server.state !== 'ready' || !leaving) return effects
  return effects.concat(closeServer(state, server, { nextState: 'draining', source: 'response' }))
}

function applyRequestLimit (
  { admission, now }: MeshState,
  server: LocalServer,
  limit: number | undefined
): MeshEffect[] {
  const { requestLimit: previous, endpoint } = server
  if (limit === previous) return []
  server.requestLimit = limit
  if (previous === undefined) server.nextRequestAt = now
  const fields = { endpoint, limit, previous, dispatchedInLastSecond: admission.dispatchTimes.length }
  return [{ slice: 'log', type: 'line', level: 'info', message: 'backend server limits its requests', fields }]
}

/** Updates the state of the server after an exchange. */
function applyOutcome (state: MeshState, outcome: WorkOutcome): MeshEffect[] {
  const server = state.admission.server!
  switch (outcome.kind) {
    case 'answered': return outcome.failed ? observeServerError(state) : recordResult(state, 'success')
    case 'broken':
      state.admission.lastDisruptionAt = state.now
      return recordResult(state, 'error')
    case 'unreachable': return markUnreachable(state, server, 'connection refused')
    case 'declined': return outcome.misdirected ? markUnreachable(state, server, 'another server has the address') : []
    case 'aborted': return []
  }
}

/** Ignores an error right after a failed call of the server's own: the called service is at fault. */
function observeServerError (state: MeshState): MeshEffect[] {
  return isCausedByCall(state) ? [] : recordResult(state, 'error')
}

function isCausedByCall ({ admission: { lastCallFailureAt }, now }: MeshState): boolean {
  return lastCallFailureAt !== undefined && now - lastCallFailureAt < CALL_FAILURE_WINDOW
}

function recordResult (state: MeshState, evidence: 'success' | 'error'): MeshEffect[] {
  const { admission } = state
  admission.errorRate += ((evidence === 'error' ? 1 : 0) - admission.errorRate) * ERROR_RATE_WEIGHT
  return observeEvidence(state, evidence)
}

function markUnreachable (state: MeshState, server: LocalServer, reason: string): MeshEffect[] {
  if (!server.reachable) return []
  server.reachable = false
  state.admission.lastDisruptionAt = state.now
  const fields = { endpoint: server.endpoint, reason }
  return [
    { slice: 'log', type: 'line', level: 'info', message: 'backend server is unreachable', fields },
    ...reportCrash(state),
    ...rejectQueued(state, 'closed')
  ]
}

function retainResult (state: MeshState, reservation: Reservation, outcome: WorkOutcome): MeshEffect[] {
  const { admission } = state
  const { id, work } = reservation
  if (outcome.kind === 'answered') state.quarantine.marks.delete(work!.fingerprint)
  if (outcome.kind === 'aborted') {
    admission.reservations.delete(id)
    return [{ slice: 'admission', type: 'forget', reservation: id }]
  }
  reservation.phase = 'done'
  return [
    { slice: 'admission', type: 'deliver', reservation: id, mayHaveRun: work!.isRepeated },
    {
      slice: 'timer',
      type: 'set',
      id: toId(`result/${id}`),
      delay: RESULT_RETENTION,
      event: { slice: 'admission', type: 'resultExpired', reservation: id }
    }
  ]
}

/**
 * @param state - the node's state
 * @param route - a route
 * @returns its usual service time in milliseconds, if it has run here
 * @internal
 */
export function findServiceTime ({ admission }: MeshState, route: RouteId): Millis | undefined {
  return admission.routeTimes.get(route) as Millis | undefined
}
