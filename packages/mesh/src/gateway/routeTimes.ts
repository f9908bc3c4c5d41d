import type { MeshState } from '../MeshState'
import type { GatewayRequest } from './GatewayState'

/** Weight of the latest sample in the moving average. */
const ROUTE_TIME_WEIGHT = 0.1

type TimedRequest = Pick<GatewayRequest, 'route' | 'service'>

/**
 * @param state - the node's state
 * @param request - a request
 * @returns the usual time from forwarding such a request to its answer in milliseconds, if any has been answered
 * @internal
 */
export function findRouteTime ({ gateway }: MeshState, { route, service }: TimedRequest): number | undefined {
  return gateway.routeTimes.get(`${route.id}/${service}`)
}

/**
 * @param state - the node's state
 * @param request - a request that a backend server answered
 * @param elapsedMs - time from forwarding the request to its answer
 * @internal
 */
export function recordRouteTime ({ gateway }: MeshState, { route, service }: TimedRequest, elapsedMs: number): void {
  const key = `${route.id}/${service}`
  const mean = gateway.routeTimes.get(key)
  gateway.routeTimes.set(key, mean === undefined ? elapsedMs : mean + (elapsedMs - mean) * ROUTE_TIME_WEIGHT)
}
