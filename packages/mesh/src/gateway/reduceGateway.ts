import type { RequestId } from '@lavenderturn/types'
import type { ReservationId } from '../admission/ReservationId'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { recordUnanswered } from '../directory/recordUnanswered'
import { admitRequest } from './admitRequest'
import { requestToken, handleTokenAnswer } from './chargeRequest'
import { endAttempt } from './endAttempt'
import { endRequest } from './endRequest'
import type {
  AttemptStarted, ConnectionOverflowed, ConnectionsDropped, ExchangeRefused, GatewayEvent, InputRejected,
  ResponseBroken, SlotAnswered, TokenAnswered
} from './GatewayEvent'
import type { GatewayRequest } from './GatewayState'
import { handleRecallDue, handleAttemptLost, handleAttemptRecalled } from './recoverAttempt'
import { refuseRequest } from './refuseRequest'
import { checkSlotRequests, requestSlot, handleSlotAnswer } from './requestSlot'
import { switchServer } from './switchServer'

/**
 * @param state - the node's state
 * @param event - an event of the gateway
 * @returns effects
 * @internal
 */
export function reduceGateway (state: MeshState, event: GatewayEvent): MeshEffect[] {
  switch (event.type) {
    case 'exchangeOpened':
      state.gateway.openExchanges += 1
      return []
    case 'exchangeClosed':
      state.gateway.openExchanges -= 1
      return []
    case 'exchangeRefused': return [logExchangeRefusal(event)]
    case 'responseBroken': return [logResponseBroken(event)]
    case 'inputRejected': return [logRejectedInput(event)]
    case 'connectionOverflowed': return [logOverflow(event)]
    case 'connectionsDropped': return [logDroppedConnections(event)]
    case 'requestArrived': return admitRequest(state, event)
    case 'slotAnswered': return routeSlotAnswer(state, event)
    case 'tokenAnswered': return routeTokenAnswer(state, event)
    case 'attemptStarted': return markAttemptStarted(state, event)
    case 'attemptRecalled': {
      const request = findByReservation(state, event.message.reservation)
      return request === undefined ? [] : handleAttemptRecalled(state, request, event)
    }
  }
  const request = state.gateway.requests.get(event.requestId)
  return request === undefined ? [] : reduceRequest(state, request, event)
}

function logExchangeRefusal ({ callerRequestId: request, result, detail }: ExchangeRefused): MeshEffect {
  return { slice: 'log', type: 'line', level: 'info', message: 'request refused', fields: { request, result, detail } }
}

function logResponseBroken ({ callerRequestId: request }: ResponseBroken): MeshEffect {
  return { slice: 'log', type: 'line', level: 'info', message: 'response broken off', fields: { request } }
}

function logRejectedInput ({ code, unanswered }: InputRejected): MeshEffect {
  return { slice: 'log', type: 'line', level: 'info', message: 'input rejected', fields: { code, unanswered } }
}

function logOverflow ({ waiting }: ConnectionOverflowed): MeshEffect {
  const message = 'connection closed: too many requests wait on it'
  return { slice: 'log', type: 'line', level: 'info', message, fields: { waiting } }
}

function logDroppedConnections ({ port, count }: ConnectionsDropped): MeshEffect {
  return { slice: 'log', type: 'line', level: 'warn', message: 'connections not accepted', fields: { port, count } }
}

type RequestEvent = Extract<GatewayEvent, { readonly requestId: RequestId }>

function reduceRequest (
  state: MeshState,
  request: GatewayRequest,
  event: Exclude<RequestEvent, { readonly type: 'requestArrived' }>
): MeshEffect[] {
  switch (event.type) {
    case 'tokenDue': return handleTokenDue(state, request)
    case 'questionsDue': return isReserving(request) ? checkSlotRequests(state, request) : []
    case 'roundDue': return request.phase === 'reserving' ? requestSlot(state, request) : []
    case 'recallDue': return handleRecallDue(state, request)
    case 'switchDue': return switchServer(state, request)
    case 'attemptEnded': return endAttempt(state, request, event)
    case 'attemptLost': return handleAttemptLost(state, request, event)
    case 'callerGone': return endRequest(state, request, { result: 'callerGone' })
    case 'deadlinePassed': return expireRequest(state, request)
  }
}

function isReserving ({ phase, isSwitching }: GatewayRequest): boolean {
  return phase === 'reserving' || isSwitching
}

function routeSlotAnswer (state: MeshState, event: SlotAnswered): MeshEffect[] {
  const { reservation } = event.message
  // A late reply to a request that obtained a slot elsewhere is ignored: the unused grant expires.
  for (const request of state.gateway.requests.values()) {
    if (request.slotRequests.has(reservation)) return handleSlotAnswer(state, request, event)
  }
  return []
}

function routeTokenAnswer (state: MeshState, event: TokenAnswered): MeshEffect[] {
  for (const request of state.gateway.requests.values()) {
    if (request.grants.has(event.message.grant)) return handleTokenAnswer(state, request, event)
  }
  return []
}

function markAttemptStarted (state: MeshState, { reservation }: AttemptStarted): MeshEffect[] {
  const request = findByReservation(state, reservation)
  if (request?.currentAttempt !== undefined) request.currentAttempt.started = true
  return []
}

function findByReservation (state: MeshState, reservation: ReservationId): GatewayRequest | undefined {
  for (const request of state.gateway.requests.values()) {
    if (request.currentAttempt?.reservation === reservation) return request
  }
  return undefined
}

function handleTokenDue (state: MeshState, request: GatewayRequest): MeshEffect[] {
  if (request.phase !== 'charging') return []
  const unresponsive = [...request.grants.values()].at(-1)
  if (unresponsive !== undefined) recordUnanswered(state, unresponsive)
  return requestToken(state, request)
}

function expireRequest (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const sent = request.currentAttempt !== undefined || request.mayHaveRun
  if (request.currentAttempt !== undefined) request.mayHaveRun = true
  return refuseRequest(state, request, { result: sent ? 'deadlineAfterDispatch' : 'deadlineInQueue' })
}
