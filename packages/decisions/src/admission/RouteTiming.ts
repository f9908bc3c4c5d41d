import type { RouteId } from '@lavenderturn/types'

/** Weight of a new sample once a route has enough samples; averages over about 50 requests. */
const TIMING_WEIGHT = 0.02

/** Factor by which `slowestMs` decays with each request, so that a peak fades over some hundred requests. */
const SLOWEST_DECAY = 0.995

/** Maximum number of routes with timings per backend server; another route evicts the oldest one. */
const MAX_TIMINGS = 1_024

/** Number of samples that a typical time of the other endpoints counts for. */
const REFERENCE_SAMPLES = 20

/** Shorter service times are treated as this one. */
const MIN_SERVICE_MS = 0.1

/** Bounds of the cost of a request, so that a wrong timing cannot block a queue. */
const COST_RANGE = { min: 1 / 8, max: 8 }

/** Typical service time of a route at one backend server, averaged as a logarithm to damp outliers. @public */
export interface RouteTiming {
  logMean: number
  samples: number
  /** Longest recent service time. */
  slowestMs: number
}

/**
 * Records a service time.
 *
 * @param timings - timings of a backend server
 * @param route - the route
 * @param serviceMs - the service time
 * @param typicalMs - typical service time at the service's other endpoints, for a route that has not run here
 * @returns logarithm of the service time divided by the route's typical one
 * @internal
 */
export function recordTiming (
  timings: Map<RouteId, RouteTiming>,
  route: RouteId,
  serviceMs: number,
  typicalMs?: number
): number {
  const logMs = Math.log(Math.max(serviceMs, MIN_SERVICE_MS))
  const timing = timings.get(route) ?? addTiming(timings, route, logMs, typicalMs)
  const slowdown = logMs - timing.logMean
  timing.samples += 1
  timing.slowestMs = Math.max(serviceMs, timing.slowestMs * SLOWEST_DECAY)
  timing.logMean += slowdown * Math.max(TIMING_WEIGHT, 1 / timing.samples)
  return slowdown
}

/**
 * Adds a route. A server without a typical time of its own starts with that of the other endpoints, because it would
 * otherwise take the service time of its cold start as typical.
 */
function addTiming (
  timings: Map<RouteId, RouteTiming>,
  route: RouteId,
  logMs: number,
  typicalMs: number | undefined
): RouteTiming {
  if (timings.size >= MAX_TIMINGS) timings.delete(timings.keys().next().value!)
  const timing = typicalMs === undefined
    ? { logMean: logMs, samples: 0, slowestMs: 0 }
    : { logMean: Math.log(Math.max(typicalMs, MIN_SERVICE_MS)), samples: REFERENCE_SAMPLES, slowestMs: 0 }
  timings.set(route, timing)
  return timing
}

/**
 * Estimates the cost of a request for deficit round robin.
 *
 * @param timings - timings of a backend server
 * @param route - the route of the request
 * @returns the route's typical service time divided by the mean over all routes; 1 if it is unknown
 * @internal
 */
export function estimateCost (timings: Map<RouteId, RouteTiming>, route: RouteId): number {
  const timing = timings.get(route)
  if (timing === undefined || timings.size === 1) return 1
  let weightedSum = 0
  let samples = 0
  for (const { logMean, samples: count } of timings.values()) {
    weightedSum += logMean * count
    samples += count
  }
  const cost = Math.exp(timing.logMean - weightedSum / samples)
  return Math.min(COST_RANGE.max, Math.max(COST_RANGE.min, cost))
}
