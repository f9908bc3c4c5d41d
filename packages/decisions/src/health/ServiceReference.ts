import { type EndpointId, type Millis, millis, type ServiceId } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { findLoad } from './findLoad'

/** What is usual at the endpoints of a service, for comparison with one of them. @public */
export interface ServiceReference {
  /** Median of the endpoints' mean service times. */
  readonly serviceMs: number
  /** Median of the endpoints' error rates. */
  readonly errorRate: number
}

/** What gateways have said of a service's other endpoints. @public */
export interface LearnedReference {
  logMs: number
  errorRate: number
  at: Millis
}

/** Weight of a new reference: gateways see different endpoints, so one alone must not decide. */
const REFERENCE_WEIGHT = 0.1

/** A reference that no gateway has confirmed for this long is not used. */
const REFERENCE_LIFETIME = millis(10_000)

/** A median of fewer endpoints says little. */
const MIN_ENDPOINTS = 2

/**
 * Computes what is usual at the other endpoints of a service, as this gateway sees them.
 *
 * @param state - the node's state
 * @param service - the service
 * @param endpoint - the endpoint to compare, which is left out
 * @returns the reference, or undefined when too few endpoints have reported
 * @public
 */
export function computeReference (
  state: NodeState,
  service: ServiceId,
  endpoint: EndpointId
): ServiceReference | undefined {
  const times: number[] = []
  const rates: number[] = []
  for (const id of state.membership.directory.get(service)?.keys() ?? []) {
    const load = id === endpoint ? undefined : findLoad(state, id)
    if (load?.serviceMs === undefined) continue
    times.push(load.serviceMs)
    rates.push(load.errorRate)
  }
  if (times.length < MIN_ENDPOINTS) return undefined
  return { serviceMs: median(times), errorRate: median(rates) }
}

/**
 * Learns a reference that a gateway sent with a request.
 *
 * @param state - the node's state
 * @param service - the service
 * @param reference - the gateway's view
 * @internal
 */
export function learnReference (state: NodeState, service: ServiceId, reference: ServiceReference): void {
  const logMs = Math.log(Math.max(reference.serviceMs, 0.1))
  const known = state.health.references.get(service)
  if (known === undefined || state.now - known.at > REFERENCE_LIFETIME) {
    state.health.references.set(service, { logMs, errorRate: reference.errorRate, at: state.now })
    return
  }
  known.logMs += (logMs - known.logMs) * REFERENCE_WEIGHT
  known.errorRate += (reference.errorRate - known.errorRate) * REFERENCE_WEIGHT
  known.at = state.now
}

/**
 * @param state - the node's state
 * @param service - the service
 * @param endpoint - the endpoint to compare
 * @returns what gateways said lately, or else what this node's own gateway sees
 * @internal
 */
export function findReference (
  state: NodeState,
  service: ServiceId,
  endpoint: EndpointId
): ServiceReference | undefined {
  const known = state.health.references.get(service)
  if (known === undefined || state.now - known.at > REFERENCE_LIFETIME) {
    return computeReference(state, service, endpoint)
  }
  return { serviceMs: Math.exp(known.logMs), errorRate: known.errorRate }
}

function median (values: number[]): number {
  values.sort((left, right) => left - right)
  const middle = values.length >> 1
  return values.length % 2 === 1 ? values[middle]! : (values[middle - 1]! + values[middle]!) / 2
}
