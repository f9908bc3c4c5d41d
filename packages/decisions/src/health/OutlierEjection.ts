import { EjectionPolicy } from './EjectionPolicy'
import { standardErrorOfMean, type Observation, SLOW_RATIO } from './Observation'
import type { ServiceReference } from './ServiceReference'

/** @public */
export interface OutlierOptions {
  /** Minimum number of responses before latency and error rate are evaluated. */
  readonly minResponses?: number
  /** Consecutive failed responses that make a server unhealthy. */
  readonly errorsInRow?: number
  /** Ratio of the service time to the median of the other endpoints that makes a server unhealthy. */
  readonly latencyRatio?: number
  /** The mean service time must also exceed the median by this many standard errors. */
  readonly latencyDeviations?: number
  /** Value of `Observation.errorScore` that makes a server unhealthy. */
  readonly errorScore?: number
}

/** Minimum difference from the median service time, whatever the ratio. */
const MIN_EXCESS_MS = 5

/** From this error rate of the whole service, consecutive errors no longer indicate a fault of a single server. */
const FAILING_SERVICE_ERROR_RATE = 0.3

/** Minimum fraction of slow requests, so that a few very long requests do not make a server unhealthy. */
const MIN_SLOW_FRACTION = 0.45

/** Minimum number of service times in a trial before latency is evaluated. */
const MIN_TRIAL_LATENCY_SAMPLES = 3

/** Number of errors that fail a trial. */
const TRIAL_ERROR_LIMIT = 2

/** Ejects backend servers whose latency or error rate is an outlier among the endpoints of the service. @public */
export class OutlierEjection extends EjectionPolicy {
  private readonly minResponses: number
  private readonly errorsInRow: number
  private readonly latencyRatio: number
  private readonly latencyDeviations: number
  private readonly errorScore: number

  constructor ({
    minResponses = 20,
    errorsInRow = 5,
    latencyRatio = SLOW_RATIO,
    // With 4, 6 healthy servers were ejected in 60 runs of 72 s in which one request in 20 took 50 times longer than
    // the others: long requests fill the slots of one server, which then gets few of the short ones.
    latencyDeviations = 5,
    // Reached after about 21 responses at 30 % errors; at the usual 2 %, by chance once in about 10 million responses.
    errorScore = 12
  }: OutlierOptions = {}) {
    super()
    this.minResponses = minResponses
    this.errorsInRow = errorsInRow
    this.latencyRatio = latencyRatio
    this.latencyDeviations = latencyDeviations
    this.errorScore = errorScore
  }

  override isUnhealthy (observation: Observation, reference: ServiceReference | undefined): boolean {
    const serviceIsFailing = reference !== undefined && reference.errorRate >= FAILING_SERVICE_ERROR_RATE
    if (observation.errorsInRow >= this.errorsInRow && !serviceIsFailing) return true
    if (observation.responses < this.minResponses || reference === undefined) return false
    // Service times during a cold start are not recorded, so there can be fewer of them than responses.
    const slow = observation.latencySamples >= this.minResponses && this.isSlow(observation, reference)
    return slow || observation.errorScore >= this.errorScore
  }

  override failsTrial (observation: Observation, reference: ServiceReference | undefined): boolean {
    const errors = Math.round(observation.errorRate * observation.responses)
    if (errors >= TRIAL_ERROR_LIMIT && observation.responses < this.minResponses) return true
    if (observation.latencySamples >= MIN_TRIAL_LATENCY_SAMPLES && reference !== undefined &&
      this.isSlow(observation, reference)) return true
    return this.isUnhealthy(observation, reference)
  }

  private isSlow (observation: Observation, { serviceMs }: ServiceReference): boolean {
    const excess = observation.logMean - Math.log(Math.max(serviceMs, 0.1))
    return excess >= Math.log(this.latencyRatio) && observation.slowFraction >= MIN_SLOW_FRACTION &&
      Math.exp(observation.logMean) - serviceMs >= MIN_EXCESS_MS &&
      excess >= this.latencyDeviations * standardErrorOfMean(observation)
  }
}
