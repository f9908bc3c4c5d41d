import type { RouteId } from '@lavenderturn/types'

/** Weight of a new sample once a route is known; an average over about 50 requests. */
const TIMING_WEIGHT = 0.02

/** Routes that a backend server keeps timings for; a route beyond it displaces the oldest. */
const MAX_TIMINGS = 1_024

/** Least and greatest cost of a request, so that a wrong timing cannot stop a queue. */
const COST_RANGE = { least: 1 / 8, most: 8 }

/** Usual service time of a route at one backend server, averaged as a logarithm to damp outliers. @public */
export interface RouteTiming {
  logMean: number
  samples: number
}

/**
 * Records a service time.
 *
 * @param timings - timings of a backend server
 * @param route - the route
 * @param serviceMs - the service time
 * @returns logarithm of the service time over the route's usual one; 0 for the first sample
 * @internal
 */
export function recordTiming (timings: Map<RouteId, RouteTiming>, route: RouteId, serviceMs: number): number {
  const logMs = Math.log(Math.max(serviceMs, 0.1))
  const timing = timings.get(route)
  if (timing === undefined) {
    if (timings.size >= MAX_TIMINGS) timings.delete(timings.keys().next().value!)
    timings.set(route, { logMean: logMs, samples: 1 })
    return 0
  }
  const slowdown = logMs - timing.logMean
  timing.samples += 1
  timing.logMean += slowdown * Math.max(TIMING_WEIGHT, 1 / timing.samples)
  return slowdown
}

/**
 * Tells what a request costs in a team's turn.
 *
 * @param timings - timings of a backend server
 * @param route - the route of the request
 * @returns its usual service time in units of the mean over routes; 1 when it is unknown
 * @internal
 */
export function estimateCost (timings: Map<RouteId, RouteTiming>, route: RouteId): number {
  const timing = timings.get(route)
  if (timing === undefined || timings.size === 1) return 1
  let weighted = 0
  let samples = 0
  for (const { logMean, samples: count } of timings.values()) {
    weighted += logMean * count
    samples += count
  }
  const cost = Math.exp(timing.logMean - weighted / samples)
  return Math.min(COST_RANGE.most, Math.max(COST_RANGE.least, cost))
}
