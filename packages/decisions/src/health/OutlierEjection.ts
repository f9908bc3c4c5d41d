import { EjectionPolicy } from './EjectionPolicy'
import { deviationOfMean, deviationOfRate, type Observation } from './Observation'
import type { ServiceReference } from './ServiceReference'

/** @public */
export interface OutlierOptions {
  /** Responses before latency and error rate are judged. */
  readonly minResponses?: number
  readonly errorsInRow?: number
  /** Service time over the median that makes a server sick. */
  readonly latencyRatio?: number
  /** Latency or error rate must also be this many standard deviations from the median. */
  readonly deviations?: { readonly latency: number, readonly errorRate: number }
}

/** A server that is slower by less than this is not sick, whatever the ratio. */
const LEAST_EXCESS_MS = 5

/** Error rate over the median's that makes a server sick. */
const LEAST_EXCESS_ERRORS = 0.15

/** Error rate that every service is assumed to have, so that single errors do not stand out. */
const LEAST_ERROR_RATE = 0.02

/** Errors in a row say nothing of one server when the service as a whole fails this often. */
const FAILING_SERVICE_RATE = 0.3

/** Responses that a trial needs before its latency is judged. */
const TRIAL_RESPONSES = 3

/** Errors that end a trial. */
const TRIAL_ERRORS = 2

/** Compares a backend server with the median of its service's other endpoints. @public */
export class OutlierEjection extends EjectionPolicy {
  private readonly minResponses: number
  private readonly errorsInRow: number
  private readonly latencyRatio: number
  private readonly deviations: { readonly latency: number, readonly errorRate: number }

  constructor ({
    minResponses = 20,
    errorsInRow = 5,
    latencyRatio = 3,
    deviations = { latency: 4, errorRate: 6 }
  }: OutlierOptions = {}) {
    super()
    this.minResponses = minResponses
    this.errorsInRow = errorsInRow
    this.latencyRatio = latencyRatio
    this.deviations = deviations
  }

  override isSick (observation: Observation, reference: ServiceReference | undefined): boolean {
    const serviceFails = reference !== undefined && reference.errorRate >= FAILING_SERVICE_RATE
    if (observation.errorsInRow >= this.errorsInRow && !serviceFails) return true
    if (observation.responses < this.minResponses || reference === undefined) return false
    return this.isSlow(observation, reference) || this.fails(observation, reference)
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
    return excess >= Math.log(this.latencyRatio) &&
      Math.exp(observation.logMean) - serviceMs >= LEAST_EXCESS_MS &&
      excess >= this.deviations.latency * deviationOfMean(observation)
  }

  private fails ({ errorRate }: Observation, reference: ServiceReference): boolean {
    const usual = Math.max(reference.errorRate, LEAST_ERROR_RATE)
    return errorRate - usual >= Math.max(LEAST_EXCESS_ERRORS, this.deviations.errorRate * deviationOfRate(usual))
  }
}
