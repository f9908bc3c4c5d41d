import type { RouteId } from '@lavenderturn/types'

/** Weight of a new sample once a route is known; an average over about 50 requests. */
const TIMING_WEIGHT = 0.02

/** The longest service time is forgotten over some hundred requests. */
const SLOWEST_DECAY = 0.995

/** Routes that a backend server keeps timings for; a route beyond it displaces the oldest. */
const MAX_TIMINGS = 1_024

/** Samples that a usual time of the other endpoints stands for. */
const REFERENCE_SAMPLES = 20

/** Service times below this are the same for every decision. */
const LEAST_MS = 0.1

/** Least and greatest cost of a request, so that a wrong timing cannot stop a queue. */
const COST_RANGE = { least: 1 / 8, most: 8 }

/** Usual service time of a route at one backend server, averaged as a logarithm to damp outliers. @public */
export interface RouteTiming {
  logMean: number
  samples: number
  /** Longest service time of late. */
  slowestMs: number
}

/**
 * Records a service time.
 *
 * @param timings - timings of a backend server
 * @param route - the route
 * @param serviceMs - the service time
 * @param usualMs - what is usual at the service's other endpoints, for a route that has not run here
 * @returns logarithm of the service time over the route's usual one
 * @internal
 */
export function recordTiming (
  timings: Map<RouteId, RouteTiming>,
  route: RouteId,
  serviceMs: number,
  usualMs?: number
): number {
  const logMs = Math.log(Math.max(serviceMs, LEAST_MS))
  const timing = timings.get(route) ?? addTiming(timings, route, logMs, usualMs)
  const slowdown = logMs - timing.logMean
  timing.samples += 1
  timing.slowestMs = Math.max(serviceMs, timing.slowestMs * SLOWEST_DECAY)
  timing.logMean += slowdown * Math.max(TIMING_WEIGHT, 1 / timing.samples)
  return slowdown
}

/** A first start has no usual time of its own; without the other endpoints' it would take the cold one as usual. */
function addTiming (
  timings: Map<RouteId, RouteTiming>,
  route: RouteId,
  logMs: number,
  usualMs: number | undefined
): RouteTiming {
  if (timings.size >= MAX_TIMINGS) timings.delete(timings.keys().next().value!)
  const timing = usualMs === undefined
    ? { logMean: logMs, samples: 0, slowestMs: 0 }
    : { logMean: Math.log(Math.max(usualMs, LEAST_MS)), samples: REFERENCE_SAMPLES, slowestMs: 0 }
  timings.set(route, timing)
  return timing
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
