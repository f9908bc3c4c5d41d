import type { Observation } from './Observation'
import type { ServiceReference } from './ServiceReference'

/** Decides which backend servers are unhealthy. @public */
export abstract class EjectionPolicy {
  /**
   * @param observation - latency and errors of a backend server, as recorded by its admission
   * @param reference - usual latency and error rate of the service's other endpoints, if known
   * @returns whether the server is unhealthy
   */
  abstract isUnhealthy (observation: Observation, reference: ServiceReference | undefined): boolean

  /**
   * Evaluates the few responses of a trial after an ejection.
   *
   * @param observation - latency and errors since the trial started
   * @param reference - usual latency and error rate of the service's other endpoints, if known
   * @returns whether the trial has failed
   */
  abstract failsTrial (observation: Observation, reference: ServiceReference | undefined): boolean
}
