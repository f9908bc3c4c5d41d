import type { ServiceId } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'
import { countMembers } from '../directory/countMembers'
import type { GatewayRequest } from './GatewayState'

/**
 * Share of the allowed retry ratio that each request adds to the budget. The rest is left for calls made by retried
 * runs, which count as retries at the called services.
 */
const DEPOSIT_FACTOR = 0.6

/**
 * Share of the allowed slack that is divided among the nodes. It is below 1 because each budget refills within one
 * window.
 */
const SLACK_SHARE = 0.5

/**
 * Adds one request's share to the retry budget of a service.
 *
 * @param state - the node's state
 * @param service - the service that the request goes to
 * @internal
 */
export function depositRetry (state: MeshState, service: ServiceId): void {
  const { bounds, gateway } = state
  const capacity = findBudgetCapacity(state)
  const balance = gateway.retryBudgets.get(service) ?? capacity
  gateway.retryBudgets.set(service, Math.min(capacity, balance + bounds.retryRatio * DEPOSIT_FACTOR))
}

/**
 * Takes one further attempt from the retry budget of a service.
 *
 * @param state - the node's state
 * @param service - the service that the attempt goes to
 * @returns whether the budget allowed it
 * @internal
 */
export function withdrawRetry (state: MeshState, service: ServiceId): boolean {
  const { retryBudgets } = state.gateway
  const balance = retryBudgets.get(service) ?? findBudgetCapacity(state)
  if (balance < 1) return false
  retryBudgets.set(service, balance - 1)
  return true
}

/**
 * @param state - the node's state
 * @param request - a request that is about to be sent
 * @returns whether it could be sent to another server if it failed
 * @internal
 */
export function canRetry (state: MeshState, { route, sentTo, service }: GatewayRequest): boolean {
  if (!route.repeatable || sentTo.size + 1 >= route.maxAttempts) return false
  return (state.gateway.retryBudgets.get(service) ?? 0) >= 1
}

function findBudgetCapacity (state: MeshState): number {
  return Math.max(1, state.bounds.retrySlack * SLACK_SHARE / Math.max(1, countMembers(state).total))
}
