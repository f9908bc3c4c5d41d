import { millis, toId } from '@lavenderturn/types'
import { countReservations } from '../admission/countReservations'
import { rejectQueued } from '../admission/rejectQueued'
import { composeHeartbeat } from '../directory/describeSelf'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { refuseRequest } from '../gateway/refuseRequest'
import { scheduleCheck as scheduleRolloutCheck } from '../rollout/scheduleCheck'
import type { LifecycleEvent } from './LifecycleEvent'
import { findStopTime, isAdmissionOver, isRefusingRequests, RETRY_AFTER_STOP } from './plannedStop'

/** Interval between checks whether all requests have been answered. */
const CHECK_INTERVAL = millis(100)

/**
 * Stops the node gracefully. It reports not ready immediately, accepts requests until callers have noticed, gives its
 * backend server work that ends in time, and ends when all requests are answered. Requests without an
 * answer when the grace period is over are told what is known.
 *
 * @param state - the node's state
 * @param event - a lifecycle event
 * @returns effects
 * @internal
 */
export function reduceLifecycle (state: MeshState, event: LifecycleEvent): MeshEffect[] {
  const { lifecycle, now } = state
  if (event.type === 'boundsChanged') {
    state.bounds = event.bounds
    return [
      { slice: 'log', type: 'line', level: 'info', message: 'bounds changed', fields: { ...event.bounds } },
      // The new bounds may be the first ones that limit the exposure of versions.
      ...scheduleRolloutCheck(state)
    ]
  }
  if (event.type === 'stopAsked') {
    if (lifecycle.stopping) return []
    lifecycle.stopping = true
    lifecycle.stopRequestedAt = now
    return [
      { slice: 'log', type: 'line', level: 'info', message: 'stop asked', fields: {} },
      { slice: 'lifecycle', type: 'closeKeptConnections' },
      // Nothing shows that these end in time.
      ...rejectQueued(state, 'closed'),
      ...notifyMembers(state),
      ...closeAdmission(state),
      scheduleCheck()
    ]
  }
  return checkStop(state)
}

function checkStop (state: MeshState): MeshEffect[] {
  const { lifecycle, now } = state
  const stopTime = findStopTime(state)
  if (lifecycle.ended || stopTime === undefined) return []
  const closing = closeAdmission(state)
  const { openExchanges, requests } = state.gateway
  const running = countReservations(state.admission, 'granted', 'running')
  const { openStreams } = state.admission
  const isIdle = openExchanges === 0 && requests.size === 0 && running === 0 && openStreams === 0
  if (now < stopTime && !(isIdle && isRefusingRequests(state))) return [...closing, scheduleCheck()]
  lifecycle.ended = true
  const { lastDispatchAt } = state.admission
  const sinceDispatchMs = lastDispatchAt === 0 ? undefined : Math.round(now - lastDispatchAt)
  const fields = { idle: isIdle, openExchanges, requests: requests.size, running, openStreams, sinceDispatchMs }
  return [
    ...closing,
    { slice: 'log', type: 'line', level: 'info', message: 'node ends', fields },
    ...refuseRemaining(state),
    { slice: 'lifecycle', type: 'endProcess' }
  ]
}

/** Closes the admission once that is due, and tells the other nodes so that they ask it no more. */
function closeAdmission (state: MeshState): MeshEffect[] {
  const { lifecycle } = state
  if (lifecycle.admissionClosed || !isAdmissionOver(state)) return []
  lifecycle.admissionClosed = true
  return [...rejectQueued(state, 'closed'), ...notifyMembers(state)]
}

function refuseRemaining (state: MeshState): MeshEffect[] {
  return [...state.gateway.requests.values()].flatMap((request) => {
    if (request.currentAttempt !== undefined) request.mayHaveRun = true
    return refuseRequest(state, request, { result: 'draining', retryAfter: RETRY_AFTER_STOP })
  })
}

function notifyMembers (state: MeshState): MeshEffect[] {
  const message = composeHeartbeat(state, true)
  const others = [...state.directory.members.values()].filter(({ node }) => node !== state.identity.nodeId)
  return others.map(({ peerAddress: to }) => ({ slice: 'peer', type: 'send', to, message }))
}

function scheduleCheck (): MeshEffect {
  const event = { slice: 'lifecycle', type: 'stopDue' } as const
  return { slice: 'timer', type: 'set', id: toId('lifecycle/stop'), delay: CHECK_INTERVAL, event }
}
