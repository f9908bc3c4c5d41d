import { type ResultCodeName, resultCodes } from '@lavenderturn/types'
import { isFresh } from '../control/isFresh'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { isSuspect } from '../quarantine/isQuarantined'
import { recordCrash } from '../quarantine/recordCrash'
import { forwardRequest } from './forwardRequest'
import type { ForwardFailed, ForwardRefused } from './GatewayEvent'
import type { GatewayRequest } from './GatewayState'
import { refuseRequest } from './refuseRequest'
import { reportAttemptEnd } from './reportAttemptEnd'

/** Maximum number of attempts for one request, including the first. */
const MAX_ATTEMPTS = 3

/**
 * Results with which an admission returns queued requests. Retries after them do not count against the retry budget: no
 * backend server has spent time on the request, and a queue of 64 requests returned at once would exceed the budget.
 */
const FREE_RETRY_RESULTS: ReadonlySet<ResultCodeName> = new Set(['draining', 'noEndpoint'])

/**
 * Handles a result code that the other node or the backend server returned instead of a response.
 *
 * @param state - the node's state
 * @param request - the request
 * @param event - the result
 * @returns effects
 * @internal
 */
export function handleForwardRefused (state: NodeState, request: GatewayRequest, event: ForwardRefused): NodeEffect[] {
  if (request.attempt !== event.attemptId) return []
  request.attempt = undefined
  const endpoint = request.forwardedAttempt?.endpoint
  const effects = reportAttemptEnd(state, request, { kind: 'replied' }, event.load)
  if (event.crashedBoot !== undefined && endpoint !== undefined) {
    effects.push(...recordCrash(state, request.fingerprint, { endpoint, bootId: event.crashedBoot }))
  }
  if (resultCodes[event.result].run === 'not-run') {
    // If part of the body is no longer buffered, the request cannot be sent to another endpoint.
    const isFinal = event.replayable === false || event.result === 'quarantined'
    if (isFinal) return effects.concat(refuseRequest(state, request, { result: event.result }))
    if (event.result === 'unconfirmed') return effects.concat(resendUnconfirmed(state, request))
    return effects.concat(retryOrRefuse(state, request, event.result, FREE_RETRY_RESULTS.has(event.result) ? 0 : 1))
  }
  return effects.concat(handleUnknownOutcome(state, request, event.result, event.replayable ?? false))
}

/**
 * Handles an attempt that ended without a complete response.
 *
 * @param state - the node's state
 * @param request - the request
 * @param event - the failure
 * @returns effects
 * @internal
 */
export function handleForwardFailed (state: NodeState, request: GatewayRequest, event: ForwardFailed): NodeEffect[] {
  if (request.attempt !== event.attemptId) return []
  request.attempt = undefined
  const effects = reportAttemptEnd(state, request, { kind: 'failed', reason: event.reason })
  if (!event.sent) return effects.concat(retryOrRefuse(state, request, 'noEndpoint'))
  const result = event.reason === 'truncated' ? 'answerIncomplete' : 'outcomeUnknown'
  return effects.concat(handleUnknownOutcome(state, request, result, event.replayable))
}

function handleUnknownOutcome (
  state: NodeState,
  request: GatewayRequest,
  result: ResultCodeName,
  replayable: boolean
): NodeEffect[] {
  request.mayHaveRun = true
  if (!request.route.repeatable || !replayable) return refuseRequest(state, request, { result })
  return retryOrRefuse(state, request, result)
}

/**
 * Resends a request that was queued for so long that its key may have been withdrawn in the meantime. Neither the
 * endpoint nor the request failed, so this counts neither as an attempt nor against the retry budget.
 */
function resendUnconfirmed (state: NodeState, request: GatewayRequest): NodeEffect[] {
  if (!isStillAllowed(state, request)) return refuseRequest(state, request, { result: 'unconfirmed' })
  if (state.now >= request.deadline) return refuseRequest(state, request, { result: 'deadlineInQueue' })
  request.triedEndpoints.clear()
  request.attempts -= 1
  return forwardRequest(state, request)
}

function isStillAllowed (state: NodeState, { team, keyHash }: GatewayRequest): boolean {
  if (team === undefined) return true
  return isFresh(state) && keyHash !== undefined && state.control.document?.findTeamByKey(keyHash) === team
}

function retryOrRefuse (state: NodeState, request: GatewayRequest, result: ResultCodeName, cost = 1): NodeEffect[] {
  request.lastResult = result
  if (!mayRetry(state, request, cost) || !isStillAllowed(state, request)) {
    return refuseRequest(state, request, { result })
  }
  state.gateway.retryBudget -= cost
  return forwardRequest(state, request)
}

function mayRetry (state: NodeState, request: GatewayRequest, cost: number): boolean {
  return request.attempts < MAX_ATTEMPTS &&
    state.now < request.deadline &&
    state.gateway.retryBudget >= cost &&
    !isSuspect(state, request.fingerprint)
}
