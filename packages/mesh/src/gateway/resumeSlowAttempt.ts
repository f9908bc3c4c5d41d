import { toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import { clearAttemptTimers } from './endRequest'
import { scheduleSwitch } from './forwardRequest'
import { MIN_SWITCH_DELAY, RECALL_INTERVAL } from './gatewayTimings'
import type { GatewayRequest } from './GatewayState'

/**
 * Continues with the slow attempt after the attempt beside it has ended without a usable answer.
 *
 * @param request - a request without a current attempt
 * @returns effects, or undefined if there is no slow attempt
 * @internal
 */
export function resumeSlowAttempt (request: GatewayRequest): MeshEffect[] | undefined {
  const { slowAttempt, id: requestId } = request
  if (slowAttempt === undefined) return undefined
  request.currentAttempt = slowAttempt
  request.slowAttempt = undefined
  request.isSwitching = false
  request.phase = 'forwarding'
  const effects = clearAttemptTimers(request)
  // Its state was not queried while the other attempt was the current one.
  if (slowAttempt.recovering || !slowAttempt.started) {
    slowAttempt.fetching = false
    slowAttempt.recoveringSince = undefined
    const event = { slice: 'gateway', type: 'recallDue', requestId } as const
    effects.push({ slice: 'timer', type: 'set', id: toId(`recall/${requestId}`), delay: RECALL_INTERVAL, event })
  }
  if (request.sentTo.size >= request.route.maxAttempts) return effects
  return [...effects, scheduleSwitch(request, MIN_SWITCH_DELAY)]
}
