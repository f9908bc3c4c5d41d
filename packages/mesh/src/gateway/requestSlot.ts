import { millis, type NodeId, toId } from '@lavenderturn/types'
import type { ReservationId } from '../admission/ReservationId'
import { summarizeLoad } from '../admission/summarizeLoad'
import { isEvacuated } from '../configuration/isEvacuated'
import { listServers } from '../directory/memberTable'
import { recordReply } from '../directory/recordReply'
import { recordUnanswered } from '../directory/recordUnanswered'
import type { Member } from '../directory/Member'
import { findProcessEnd } from '../lifecycle/plannedStop'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { abandonSwitch, completeSwitch } from './completeSwitch'
import { releaseSlotRequests } from './endRequest'
import { findMaxWait } from './findMaxWait'
import { forwardRequest } from './forwardRequest'
import {
  HEALTHY_WAIT_SHARE, MAX_ROUNDS_WITH_FAILED_ANSWER, MAX_SLOT_REQUESTS, MAX_SLOT_REQUESTS_WITH_SUSPECTS,
  PEER_REPLY_TIMEOUT, ROUND_PAUSE
} from './gatewayTimings'
import type { SlotAnswered } from './GatewayEvent'
import type { GatewayRequest } from './GatewayState'
import { canRetry } from './retryBudget'
import { refuseRequest } from './refuseRequest'
import { sampleCandidates } from './sampleCandidates'

/**
 * Requests a slot from the best candidates. Nothing is sent to a backend server before its admission grants a slot, so
 * an unanswered slot request cannot lose the caller's request.
 *
 * @param state - the node's state
 * @param request - a request that needs a slot
 * @returns effects
 * @internal
 */
export function requestSlot (state: MeshState, request: GatewayRequest): MeshEffect[] {
  if (request.currentAttempt === undefined) {
    request.phase = 'reserving'
    request.isSwitching = false
  }
  const waitMs = findMaxWait(state, request)
  if (waitMs <= 0) {
    if (request.isSwitching) return abandonSwitch(state, request)
    return refuseRequest(state, request, { result: 'noEndpoint' })
  }
  const openCount = [...request.slotRequests.values()].filter((slotRequest) => slotRequest.state !== 'missed').length
  const limit = request.acceptSuspect ? MAX_SLOT_REQUESTS_WITH_SUSPECTS : MAX_SLOT_REQUESTS
  const candidate = openCount < limit ? selectCandidate(state, request) : undefined
  if (candidate !== undefined) return sendSlotRequest(state, request, candidate, waitMs)
  if (request.slotRequests.size > 0) return [scheduleReplyCheck(request)]
  return request.isSwitching ? abandonSwitch(state, request) : scheduleNextRound(state, request)
}

/**
 * Lists the nodes that the request could ask for a slot.
 *
 * @param state - the node's state
 * @param request - a request
 * @returns the nodes that neither refused, were asked, ran the request nor run it now
 * @internal
 */
export function listCandidates (state: MeshState, request: GatewayRequest): Member[] {
  const asked = new Set<NodeId>([...request.slotRequests.values()].map(({ node }) => node))
  const candidates: Member[] = []
  for (const member of listServers(state.directory, request.service)) {
    if (member.leaving && !takesWorkWhileLeaving(state, { member, request })) continue
    if (isEvacuated(state, member.dataCentre)) continue
    if (member.node === request.currentAttempt?.node || member.node === request.slowAttempt?.node) continue
    if (asked.has(member.node) || request.refusedBy.has(member.node) || request.sentTo.has(member.node)) continue
    if (member.node === state.identity.nodeId) recordReply(state, member.node, summarizeLoad(state))
    candidates.push(member)
  }
  return candidates
}

/** A node in a planned stop gives its server work that ends before its process, until it reports that it is closed. */
function takesWorkWhileLeaving (
  { bounds }: MeshState,
  { member, request }: { readonly member: Member, readonly request: GatewayRequest }
): boolean {
  return member.load.open && request.deadline <= findProcessEnd(bounds, member.leavingSince)
}

function selectCandidate (state: MeshState, request: GatewayRequest): Member | undefined {
  const candidates = sampleCandidates(state, listCandidates(state, request))
  return state.policies.ranking.rank(state, request, candidates)[0]
}

function sendSlotRequest (state: MeshState, request: GatewayRequest, member: Member, waitMs: number): MeshEffect[] {
  const reservation = toId<ReservationId>(`${state.identity.bootId}.${state.gateway.nextNumber++}`)
  request.slotRequests.set(reservation, { node: member.node, askedAt: state.now, state: 'asked' })
  return [
    {
      slice: 'peer',
      type: 'send',
      to: member.peerAddress,
      message: {
        kind: 'askSlot',
        reservation,
        replyTo: state.identity.peerAddress,
        service: request.service,
        priority: request.priority,
        repeatable: request.route.repeatable,
        canRetry: canRetry(state, request),
        acceptSuspect: request.acceptSuspect,
        waitMs,
        ...state.lifecycle.stopping && { senderStops: true },
        ...isStopping(state, member) && { endsInMs: Math.ceil(request.deadline - state.now) }
      }
    },
    scheduleReplyCheck(request)
  ]
}

function isStopping ({ identity, lifecycle }: MeshState, { node, leaving }: Member): boolean {
  return node === identity.nodeId ? lifecycle.stopping : leaving
}

function scheduleReplyCheck ({ id }: GatewayRequest): MeshEffect {
  return {
    slice: 'timer',
    type: 'set',
    id: toId(`questions/${id}`),
    delay: PEER_REPLY_TIMEOUT,
    event: { slice: 'gateway', type: 'questionsDue', requestId: id }
  }
}

/** Asks all candidates again after a pause, including suspect ones, because every candidate refused. */
function scheduleNextRound (state: MeshState, request: GatewayRequest): MeshEffect[] {
  request.rounds += 1
  // Limits how long the caller waits for an error answer that has already been received.
  if (request.failedAnswer !== undefined && request.rounds > MAX_ROUNDS_WITH_FAILED_ANSWER) {
    return refuseRequest(state, request, { result: 'noEndpoint' })
  }
  request.acceptSuspect = true
  request.refusedBy.clear()
  return [{
    slice: 'timer',
    type: 'set',
    id: toId(`round/${request.id}`),
    delay: millis(ROUND_PAUSE * Math.min(4, request.rounds)),
    event: { slice: 'gateway', type: 'roundDue', requestId: request.id }
  }]
}

/**
 * Handles an admission's reply to a slot request.
 *
 * @param state - the node's state
 * @param request - the request that the slot is for
 * @param event - the reply
 * @returns effects
 * @internal
 */
export function handleSlotAnswer (state: MeshState, request: GatewayRequest, { message }: SlotAnswered): MeshEffect[] {
  const slotRequest = request.slotRequests.get(message.reservation)!
  recordReply(state, slotRequest.node, message.load)
  switch (message.verdict) {
    case 'queued':
      slotRequest.state = 'queued'
      return requestSlot(state, request)
    case 'refused':
      request.slotRequests.delete(message.reservation)
      request.refusedBy.add(slotRequest.node)
      return requestSlot(state, request)
    case 'granted': {
      request.slotRequests.delete(message.reservation)
      const slot = { reservation: message.reservation, node: slotRequest.node }
      if (request.isSwitching) return completeSwitch(state, request, slot)
      return [...releaseSlotRequests(state, request), ...forwardRequest(state, request, slot)]
    }
  }
}

/**
 * Marks slot requests that were left unanswered and asks other candidates.
 *
 * @param state - the node's state
 * @param request - a request that is waiting for a slot
 * @returns effects
 * @internal
 */
export function checkSlotRequests (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const effects: MeshEffect[] = []
  for (const slotRequest of request.slotRequests.values()) {
    if (slotRequest.state !== 'asked' || state.now - slotRequest.askedAt < PEER_REPLY_TIMEOUT) continue
    slotRequest.state = 'missed'
    recordUnanswered(state, slotRequest.node)
    const fields = { request: request.callerRequestId, to: slotRequest.node }
    effects.push({ slice: 'log', type: 'line', level: 'debug', message: 'slot request unanswered', fields })
  }
  const healthyWait = request.route.targetLatency * HEALTHY_WAIT_SHARE
  if (!request.acceptSuspect && state.now - request.arrivedAt > healthyWait) {
    request.acceptSuspect = true
    request.refusedBy.clear()
  }
  // Gives up unanswered slot requests once all other candidates have refused.
  const isWaiting = [...request.slotRequests.values()].some(({ state }) => state !== 'missed')
  if (!isWaiting && listCandidates(state, request).length === 0) {
    for (const { node } of request.slotRequests.values()) request.refusedBy.add(node)
    effects.push(...releaseSlotRequests(state, request))
  }
  return effects.concat(requestSlot(state, request))
}
