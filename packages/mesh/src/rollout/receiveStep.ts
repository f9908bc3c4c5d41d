import { millis } from '@lavenderturn/types'
import { countReservations } from '../admission/countReservations'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { RolloutStepMessage, RouteCounts } from '../messages/RolloutMessage'
import { adoptOrder } from './adoptOrder'
import { applyPhase } from './applyPhase'
import { findExposureBounds } from './exposureBounds'
import { isServerReady } from './isServerReady'
import { isSameOrder, type RolloutOrder } from './RolloutOrder'
import { createBuckets, findBucket } from './RouteEvidence'
import { LEASE_SHARE } from './rolloutTimings'

/**
 * Follows the step of a conductor and reports the results of this instance's server to it.
 *
 * @param state - the node's state
 * @param message - the step
 * @returns effects
 * @internal
 */
export function receiveStep (state: MeshState, message: RolloutStepMessage): MeshEffect[] {
  const bounds = findExposureBounds(state.bounds)
  const { service, to, duration, era, version, term, step } = message
  if (bounds === undefined || service !== state.identity.service) return []
  const order: RolloutOrder = { service, to, duration, position: { era, version } }
  const effects = adoptOrder(state, order)
  const rollout = state.rollout.rollouts.get(service)!
  if (!isSameOrder(rollout.order, order) && rollout.order.to !== to) return effects
  const isLate = term < rollout.term || (term === rollout.term && step < rollout.step)
  if (!isLate) {
    const { exposure } = state.rollout
    rollout.stepAt = state.now
    exposure.allowance = message.allowance
    // Dated back to this node's report, so that an allowance which arrives late is not used.
    exposure.validUntil = millis(message.echo === 0 ? 0 : message.echo + bounds.rollback * LEASE_SHARE)
  }
  return [...effects, ...applyPhase(state, rollout, message), ...reportEvidence(state, message)]
}

function reportEvidence (state: MeshState, { replyTo, service, term }: RolloutStepMessage): MeshEffect[] {
  const { admission, identity, rollout: { exposure } } = state
  if (admission.server === undefined) return []
  return [{
    slice: 'peer',
    type: 'send',
    to: replyTo,
    message: {
      kind: 'rolloutEvidence',
      node: identity.nodeId,
      boot: identity.bootId,
      service,
      term,
      version: admission.server.version,
      ready: isServerReady(state),
      dispatched: exposure.dispatched,
      running: countReservations(admission, 'granted', 'running'),
      sentAt: Math.round(state.now),
      routes: listCounts(state)
    }
  }]
}

function listCounts (state: MeshState): RouteCounts[] {
  const running = new Map<RouteCounts[0], number[]>()
  for (const { isTrial, phase, work } of state.admission.reservations.values()) {
    if (phase !== 'running' || isTrial || work === undefined || work.isColdStart) continue
    const buckets = running.get(work.route) ?? createBuckets()
    buckets[findBucket(state.now - work.startedAt)]! += 1
    running.set(work.route, buckets)
  }
  const { evidence } = state.rollout.exposure
  const routes = new Set([...evidence.keys(), ...running.keys()])
  return [...routes].map((route) => {
    const { failed = 0, times = [] } = evidence.get(route) ?? {}
    return [route, failed, trimZeros(times), trimZeros(running.get(route) ?? [])]
  })
}

function trimZeros (counts: readonly number[]): readonly number[] {
  let end = counts.length
  while (end > 0 && counts[end - 1] === 0) end -= 1
  return counts.slice(0, end)
}
