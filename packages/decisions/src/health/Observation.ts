/** Smoothing factor of the moving average of the service time. */
const LATENCY_WEIGHT = 0.1

/** Smoothing factor of the moving error rate, an average over about 33 responses. */
const ERROR_WEIGHT = 0.03

/** Lower bound of the reference error rate, so that single errors do not count as outliers. */
const MIN_REFERENCE_ERROR_RATE = 0.02

/** Factor on the reference error rate, which is itself an estimate. */
const REFERENCE_ERROR_RATE_MARGIN = 1.5

/** Assumed difference between the error rate of an unhealthy server and the reference rate. */
const UNHEALTHY_ERROR_RATE_EXCESS = 0.25

/** Upper bound of the reference error rate, so that the error rate of an unhealthy server stays below 1. */
const MAX_REFERENCE_ERROR_RATE = 0.7

/** A request is slow if its service time exceeds the reference by this factor. */
export const SLOW_RATIO = 3

/** Shorter service times are treated as this one; bounds the logarithm. */
const MIN_SERVICE_MS = 0.1

/** Moving averages of the latency and the error rate of one backend server. @public */
export interface Observation {
  responses: number
  latencySamples: number
  /** Moving average of the logarithm of the service time in milliseconds; the logarithm dampens long requests. */
  logMean: number
  logVariance: number
  /** Moving fraction of requests that took more than `SLOW_RATIO` times the service time of the other endpoints. */
  slowFraction: number
  errorRate: number
  errorsInRow: number
  /**
   * CUSUM statistic for a raised error rate: sum of the log-likelihood ratios of an unhealthy error rate against the
   * reference error rate, never below 0.
   */
  errorScore: number
}

/**
 * @returns an observation without samples
 * @internal
 */
export function createObservation (): Observation {
  return {
    responses: 0,
    latencySamples: 0,
    logMean: 0,
    logVariance: 0,
    slowFraction: 0,
    errorRate: 0,
    errorsInRow: 0,
    errorScore: 0
  }
}

/**
 * Records the outcome of a response.
 *
 * @param observation - updated in place
 * @param failed - whether the backend server failed
 * @param referenceErrorRate - usual error rate of the service's other endpoints
 * @internal
 */
export function recordOutcome (observation: Observation, failed: boolean, referenceErrorRate = 0): void {
  observation.responses += 1
  observation.errorsInRow = failed ? observation.errorsInRow + 1 : 0
  const weight = Math.max(ERROR_WEIGHT, 1 / observation.responses)
  observation.errorRate += ((failed ? 1 : 0) - observation.errorRate) * weight
  observation.errorScore = Math.max(0, observation.errorScore + logLikelihoodRatio(failed, referenceErrorRate))
}

function logLikelihoodRatio (failed: boolean, referenceErrorRate: number): number {
  const referenceRate = Math.min(
    MAX_REFERENCE_ERROR_RATE,
    Math.max(MIN_REFERENCE_ERROR_RATE, REFERENCE_ERROR_RATE_MARGIN * referenceErrorRate)
  )
  const unhealthyRate = referenceRate + UNHEALTHY_ERROR_RATE_EXCESS
  return failed ? Math.log(unhealthyRate / referenceRate) : Math.log((1 - unhealthyRate) / (1 - referenceRate))
}

/**
 * Records a service time.
 *
 * @param observation - updated in place
 * @param serviceMs - how long a request took, or has taken so far
 * @param referenceMs - usual service time of the service's other endpoints
 * @internal
 */
export function recordLatency (observation: Observation, serviceMs: number, referenceMs = Infinity): void {
  observation.latencySamples += 1
  const weight = Math.max(LATENCY_WEIGHT, 1 / observation.latencySamples)
  const difference = Math.log(Math.max(serviceMs, MIN_SERVICE_MS)) - observation.logMean
  observation.logMean += difference * weight
  observation.slowFraction += ((serviceMs > SLOW_RATIO * referenceMs ? 1 : 0) - observation.slowFraction) * weight
  observation.logVariance = (1 - weight) * (observation.logVariance + weight * difference * difference)
}

/**
 * @param observation - the observation
 * @returns the standard error of `logMean`
 * @internal
 */
export function standardErrorOfMean ({ logVariance, latencySamples }: Observation): number {
  const weight = Math.max(LATENCY_WEIGHT / (2 - LATENCY_WEIGHT), 1 / Math.max(1, latencySamples))
  return Math.sqrt(logVariance * weight)
}
