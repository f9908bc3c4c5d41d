import { millis, toId } from '@lavenderturn/types'
import { countReservations } from '../admission/countReservations'
import { rejectQueued } from '../admission/rejectQueued'
import { composeHeartbeat } from '../directory/describeSelf'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { LifecycleEvent } from './LifecycleEvent'

/** Time that callers need to notice that the node is not ready: two health checks a second apart, and some slack. */
const READINESS_PROPAGATION_TIME = millis(2_800)

/** Interval between checks whether all requests have been answered. */
const CHECK_INTERVAL = millis(100)

/** Part of the grace period that is reserved for ending the process. */
const SHUTDOWN_RESERVE = millis(500)

/**
 * Stops the node gracefully. It reports not ready immediately, accepts requests until callers have noticed, and ends
 * when all requests are answered or the grace period is over.
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
    return [{ slice: 'log', type: 'line', level: 'info', message: 'bounds changed', fields: { ...event.bounds } }]
  }
  if (event.type === 'stopAsked') {
    if (lifecycle.stopping) return []
    lifecycle.stopping = true
    lifecycle.stopRequestedAt = now
    return [
      { slice: 'log', type: 'line', level: 'info', message: 'stop asked', fields: {} },
      { slice: 'lifecycle', type: 'closeKeptConnections' },
      ...rejectQueued(state, 'closed'),
      ...notifyMembers(state),
      scheduleCheck()
    ]
  }
  if (lifecycle.ended || lifecycle.stopRequestedAt === undefined) return []
  const elapsed = now - lifecycle.stopRequestedAt
  const idle = state.gateway.requests.size === 0 && countReservations(state.admission, 'granted', 'running') === 0
  if ((idle && elapsed >= READINESS_PROPAGATION_TIME) || elapsed >= state.bounds.grace - SHUTDOWN_RESERVE) {
    lifecycle.ended = true
    return [
      { slice: 'log', type: 'line', level: 'info', message: 'node ends', fields: { idle } },
      { slice: 'lifecycle', type: 'endProcess' }
    ]
  }
  return [scheduleCheck()]
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
