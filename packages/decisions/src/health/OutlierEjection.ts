import { EjectionPolicy } from './EjectionPolicy'
import { deviationOfMean, type Observation, SLOW_RATIO } from './Observation'
import type { ServiceReference } from './ServiceReference'

/** @public */
export interface OutlierOptions {
  /** Responses before latency and error rate are judged. */
  readonly minResponses?: number
  readonly errorsInRow?: number
  /** Service time over the median that makes a server sick. */
  readonly latencyRatio?: number
  /** Service time must also be this many standard deviations of its mean from the median. */
  readonly latencyDeviations?: number
  /** `errorScore` that makes a server sick. */
  readonly errorScore?: number
}

/** A server that is slower by less than this is not sick, whatever the ratio. */
const LEAST_EXCESS_MS = 5

/** Errors in a row say nothing of one server when the service as a whole fails this often. */
const FAILING_SERVICE_RATE = 0.3

/** Part of the requests that must be slow: a server is not sick because of a few very long ones. */
const LEAST_SLOW_SHARE = 0.45

/** Responses that a trial needs before its latency is judged. */
const TRIAL_RESPONSES = 3

/** Errors that end a trial. */
const TRIAL_ERRORS = 2

/** Compares a backend server with the median of its service's other endpoints. @public */
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
    // Takes about 21 responses at 30 % errors; by chance once in some 10 million responses at 2 %, the usual rate.
    errorScore = 12
  }: OutlierOptions = {}) {
    super()
    this.minResponses = minResponses
    this.errorsInRow = errorsInRow
    this.latencyRatio = latencyRatio
    this.latencyDeviations = latencyDeviations
    this.errorScore = errorScore
  }

  override isSick (observation: Observation, reference: ServiceReference | undefined): boolean {
    const serviceFails = reference !== undefined && reference.errorRate >= FAILING_SERVICE_RATE
    if (observation.errorsInRow >= this.errorsInRow && !serviceFails) return true
    if (observation.responses < this.minResponses || reference === undefined) return false
    // The service times of a cold start are left out, so that there may be fewer of them than responses.
    const slow = observation.latencies >= this.minResponses && this.isSlow(observation, reference)
    return slow || observation.errorScore >= this.errorScore
  }

  override failsTrial (observation: Observation, reference: ServiceReference | undefined): boolean {
    const errors = Math.round(observation.errorRate * observation.responses)
    if (errors >= TRIAL_ERRORS && observation.responses < this.minResponses) return true
    if (observation.latencies >= TRIAL_RESPONSES && reference !== undefined &&
      this.isSlow(observation, reference)) return true
    return this.isSick(observation, reference)
  }

  private isSlow (observation: Observation, { serviceMs }: ServiceReference): boolean {
    const excess = observation.logMean - Math.log(Math.max(serviceMs, 0.1))
    return excess >= Math.log(this.latencyRatio) && observation.slowShare >= LEAST_SLOW_SHARE &&
      Math.exp(observation.logMean) - serviceMs >= LEAST_EXCESS_MS &&
      excess >= this.latencyDeviations * deviationOfMean(observation)
  }
}
