/** Weight of a new service time. */
const LATENCY_WEIGHT = 0.1

/** Weight of a new outcome in the error rate, an average over about 33 responses. */
const ERROR_WEIGHT = 0.03

/** Error rate that every service is assumed to have at least, so that single errors do not stand out. */
const LEAST_ERROR_RATE = 0.02

/** Margin over the usual error rate, which is itself an estimate. */
const USUAL_RATE_MARGIN = 1.5

/** A sick server is assumed to have an error rate this much above the usual one. */
const SICK_ERROR_EXCESS = 0.25

/** Highest error rate for which a higher one can be told. */
const HIGHEST_USUAL_RATE = 0.7

/** A request is slow when it takes this many times longer than usual. */
export const SLOW_RATIO = 3

/** Service times below this are the same for every decision. */
const LEAST_SERVICE_MS = 0.1

/** Weighted latency and error rate of one backend server. @public */
export interface Observation {
  responses: number
  latencies: number
  /** Weighted mean of the logarithm of the service time in milliseconds; damps routes with long requests. */
  logMean: number
  logVariance: number
  /** Weighted part of the requests that took more than `SLOW_RATIO` times the service's usual time. */
  slowShare: number
  errorRate: number
  errorsInRow: number
  /**
   * Evidence of a raised error rate: cumulative sum of the logarithm of the likelihood ratio of a sick and of a usual
   * error rate, never below 0.
   */
  errorScore: number
}

/**
 * @returns an observation without responses
 * @internal
 */
export function createObservation (): Observation {
  return {
    responses: 0,
    latencies: 0,
    logMean: 0,
    logVariance: 0,
    slowShare: 0,
    errorRate: 0,
    errorsInRow: 0,
    errorScore: 0
  }
}

/**
 * Adds the outcome of a response.
 *
 * @param observation - updated in place
 * @param failed - whether the backend server failed
 * @param usualRate - error rate of the service's other endpoints
 * @internal
 */
export function observeOutcome (observation: Observation, failed: boolean, usualRate = 0): void {
  observation.responses += 1
  observation.errorsInRow = failed ? observation.errorsInRow + 1 : 0
  const weight = Math.max(ERROR_WEIGHT, 1 / observation.responses)
  observation.errorRate += ((failed ? 1 : 0) - observation.errorRate) * weight
  observation.errorScore = Math.max(0, observation.errorScore + likelihoodOf(failed, usualRate))
}

function likelihoodOf (failed: boolean, usualRate: number): number {
  const usual = Math.min(HIGHEST_USUAL_RATE, Math.max(LEAST_ERROR_RATE, USUAL_RATE_MARGIN * usualRate))
  const sick = usual + SICK_ERROR_EXCESS
  return failed ? Math.log(sick / usual) : Math.log((1 - sick) / (1 - usual))
}

/**
 * Adds a service time.
 *
 * @param observation - updated in place
 * @param serviceMs - how long a request ran, or has run so far
 * @param usualMs - usual time at the service's other endpoints
 * @internal
 */
export function observeLatency (observation: Observation, serviceMs: number, usualMs = Infinity): void {
  observation.latencies += 1
  const weight = Math.max(LATENCY_WEIGHT, 1 / observation.latencies)
  const difference = Math.log(Math.max(serviceMs, LEAST_SERVICE_MS)) - observation.logMean
  observation.logMean += difference * weight
  observation.slowShare += ((serviceMs > SLOW_RATIO * usualMs ? 1 : 0) - observation.slowShare) * weight
  observation.logVariance = (1 - weight) * (observation.logVariance + weight * difference * difference)
}

/**
 * @param observation - the observation
 * @returns standard deviation of its weighted mean
 * @internal
 */
export function deviationOfMean ({ logVariance, latencies }: Observation): number {
  const weight = Math.max(LATENCY_WEIGHT / (2 - LATENCY_WEIGHT), 1 / Math.max(1, latencies))
  return Math.sqrt(logVariance * weight)
}
