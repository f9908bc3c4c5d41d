import type { ServiceId } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'
import { countMembers } from '../directory/countMembers'
import type { GatewayRequest } from './GatewayState'

/** Part of the allowed ratio that each request earns; calls of a repeated run count as repeats elsewhere. */
const EARNED_PART = 0.6

/** Part of the fleet's slack that the nodes divide among themselves; each budget refills within one window. */
const SLACK_PART = 0.5

/**
 * Lets a request earn its share of a further attempt.
 *
 * @param state - the node's state
 * @param service - the service that the request goes to
 * @internal
 */
export function earnRetries (state: MeshState, service: ServiceId): void {
  const { bounds, gateway } = state
  const capacity = findCapacity(state)
  const held = gateway.retryBudgets.get(service) ?? capacity
  gateway.retryBudgets.set(service, Math.min(capacity, held + bounds.retryRatio * EARNED_PART))
}

/**
 * Takes one further attempt from the budget.
 *
 * @param state - the node's state
 * @param service - the service that the attempt goes to
 * @returns whether the budget allowed it
 * @internal
 */
export function spendRetry (state: MeshState, service: ServiceId): boolean {
  const { retryBudgets } = state.gateway
  const held = retryBudgets.get(service) ?? findCapacity(state)
  if (held < 1) return false
  retryBudgets.set(service, held - 1)
  return true
}

/**
 * @param state - the node's state
 * @param request - a request that is about to be sent
 * @returns whether it could go to another server if it failed
 * @internal
 */
export function canRetry (state: MeshState, { route, sentTo, service }: GatewayRequest): boolean {
  if (!route.repeatable || sentTo.size + 1 >= route.maxAttempts) return false
  return (state.gateway.retryBudgets.get(service) ?? 0) >= 1
}

function findCapacity (state: MeshState): number {
  return Math.max(1, state.bounds.retrySlack * SLACK_PART / Math.max(1, countMembers(state).total))
}
