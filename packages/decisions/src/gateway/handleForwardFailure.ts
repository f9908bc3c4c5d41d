import { type ResultName, resultCodes } from '@lavenderturn/types'
import { isFresh } from '../control/isFresh'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { isSuspect } from '../quarantine/isQuarantined'
import { markCrash } from '../quarantine/markCrash'
import { forwardRequest } from './forwardRequest'
import type { ForwardFailed, ForwardRefused } from './GatewayEvent'
import type { GatewayRequest } from './GatewayState'
import { refuseRequest } from './refuseRequest'
import { reportAttempt } from './reportAttempt'

/** Attempts of one request, the first included. */
const MAX_ATTEMPTS = 3

/**
 * Results of an admission that has handed waiting work back. They use none of the retry budget: no backend server has
 * spent time on the request, and a queue of 64 that is handed back at once would exceed the budget.
 */
const HANDED_BACK: ReadonlySet<ResultName> = new Set(['draining', 'noEndpoint'])

/**
 * Handles a result that the other node, or the backend server, gave in place of an answer.
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
  const endpoint = request.forwarded?.endpoint
  const effects = reportAttempt(state, request, { kind: 'replied' }, event.load)
  if (event.crashedBoot !== undefined && endpoint !== undefined) {
    effects.push(...markCrash(state, request.fingerprint, { endpoint, bootId: event.crashedBoot }))
  }
  if (resultCodes[event.result].run === 'not-run') {
    // A request of which part of the body is gone cannot go to another endpoint.
    const isFinal = event.replayable === false || event.result === 'quarantined'
    if (isFinal) return effects.concat(refuseRequest(state, request, { result: event.result }))
    if (event.result === 'unconfirmed') return effects.concat(confirmRequest(state, request))
    return effects.concat(retryOrRefuse(state, request, event.result, HANDED_BACK.has(event.result) ? 0 : 1))
  }
  return effects.concat(handleUnknown(state, request, event.result, event.replayable ?? false))
}

/**
 * Handles an attempt that ended without a whole answer.
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
  const effects = reportAttempt(state, request, { kind: 'failed', reason: event.reason })
  if (!event.sent) return effects.concat(retryOrRefuse(state, request, 'noEndpoint'))
  const result = event.reason === 'truncated' ? 'answerIncomplete' : 'outcomeUnknown'
  return effects.concat(handleUnknown(state, request, result, event.replayable))
}

function handleUnknown (
  state: NodeState,
  request: GatewayRequest,
  result: ResultName,
  replayable: boolean
): NodeEffect[] {
  request.mayHaveRun = true
  if (!request.route.repeatable || !replayable) return refuseRequest(state, request, { result })
  return retryOrRefuse(state, request, result)
}

/**
 * Sends a request again that waited in a queue for so long that its key may have been withdrawn since. The wait is
 * no fault of the endpoint, and the request did not fail, so that no retry is used up.
 */
function confirmRequest (state: NodeState, request: GatewayRequest): NodeEffect[] {
  if (!isStillAllowed(state, request)) return refuseRequest(state, request, { result: 'unconfirmed' })
  if (state.now >= request.deadline) return refuseRequest(state, request, { result: 'deadlineInQueue' })
  request.tried.clear()
  request.attempts -= 1
  return forwardRequest(state, request)
}

function isStillAllowed (state: NodeState, { team, keyHash }: GatewayRequest): boolean {
  if (team === undefined) return true
  return isFresh(state) && keyHash !== undefined && state.control.document?.findTeamByKey(keyHash) === team
}

function retryOrRefuse (state: NodeState, request: GatewayRequest, result: ResultName, cost = 1): NodeEffect[] {
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
