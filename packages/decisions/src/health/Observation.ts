/** Weight of a new service time. */
const LATENCY_WEIGHT = 0.1

/**
 * Weight of a new outcome, an average over about 33 responses. With 0.05 a server with 1 % errors was above the
 * threshold of `OutlierEjection` too often by chance.
 */
const ERROR_WEIGHT = 0.03

/** Service times below this are the same for every decision. */
const LEAST_SERVICE_MS = 0.1

/** Weighted latency and error rate of one backend server. @public */
export interface Observation {
  responses: number
  latencies: number
  /** Weighted mean of the logarithm of the service time in milliseconds; damps routes with long requests. */
  logMean: number
  logVariance: number
  errorRate: number
  errorsInRow: number
}

/**
 * @returns an observation without responses
 * @internal
 */
export function createObservation (): Observation {
  return { responses: 0, latencies: 0, logMean: 0, logVariance: 0, errorRate: 0, errorsInRow: 0 }
}

/**
 * Adds the outcome of a response.
 *
 * @param observation - updated in place
 * @param failed - whether the backend server failed
 * @internal
 */
export function observeOutcome (observation: Observation, failed: boolean): void {
  observation.responses += 1
  observation.errorsInRow = failed ? observation.errorsInRow + 1 : 0
  const weight = Math.max(ERROR_WEIGHT, 1 / observation.responses)
  observation.errorRate += ((failed ? 1 : 0) - observation.errorRate) * weight
}

/**
 * Adds a service time.
 *
 * @param observation - updated in place
 * @param serviceMs - how long a request ran, or has run so far
 * @internal
 */
export function observeLatency (observation: Observation, serviceMs: number): void {
  observation.latencies += 1
  const weight = Math.max(LATENCY_WEIGHT, 1 / observation.latencies)
  const difference = Math.log(Math.max(serviceMs, LEAST_SERVICE_MS)) - observation.logMean
  observation.logMean += difference * weight
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

/**
 * @param rate - an error rate
 * @returns standard deviation of the weighted rate of a server with this error rate
 * @internal
 */
export function deviationOfRate (rate: number): number {
  return Math.sqrt(rate * (1 - rate) * ERROR_WEIGHT / (2 - ERROR_WEIGHT))
}
