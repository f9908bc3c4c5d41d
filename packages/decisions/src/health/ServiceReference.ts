import { type EndpointId, type Millis, millis, type ServiceId } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { findLoad } from './findLoad'

/** Usual latency and error rate of the endpoints of a service, to compare one endpoint with. @public */
export interface ServiceReference {
  /** Median of the endpoints' mean service times. */
  readonly serviceMs: number
  /** Median of the endpoints' error rates. */
  readonly errorRate: number
}

/** Moving average of the references that gateways have sent for a service. @public */
export interface ReferenceAverage {
  /** Logarithm of the service time in milliseconds. */
  logMs: number
  errorRate: number
  at: Millis
}

/** Smoothing factor of new references; gateways see different endpoints, so a single one must not dominate. */
const REFERENCE_WEIGHT = 0.1

/** A reference expires if no gateway has updated it for this long. */
const REFERENCE_LIFETIME = millis(10_000)

/** Minimum number of endpoints for a meaningful median. */
const MIN_REFERENCE_ENDPOINTS = 2

/**
 * Computes the median latency and error rate of the other endpoints of a service, from this gateway's load reports.
 *
 * @param state - the node's state
 * @param service - the service
 * @param endpoint - the endpoint to compare, which is excluded
 * @returns the reference, or undefined if too few endpoints have reported
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
  if (times.length < MIN_REFERENCE_ENDPOINTS) return undefined
  return { serviceMs: median(times), errorRate: median(rates) }
}

/**
 * Merges a reference that a gateway sent with a request into the moving average.
 *
 * @param state - the node's state
 * @param service - the service
 * @param reference - the reference from the gateway
 * @internal
 */
export function mergeReference (state: NodeState, service: ServiceId, reference: ServiceReference): void {
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
 * @returns the reference received from gateways, or the one of this node's own gateway if that has expired
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
