import type { Observation } from './Observation'
import type { ServiceReference } from './ServiceReference'

/** Tells sick backend servers from healthy ones. @public */
export abstract class EjectionPolicy {
  /**
   * @param observation - what the admission has seen of a backend server
   * @param reference - what is usual at the service's other endpoints, if it is known
   * @returns whether the server is sick
   */
  abstract isSick (observation: Observation, reference: ServiceReference | undefined): boolean

  /**
   * Judges the few responses of a trial after an ejection.
   *
   * @param observation - what the admission has seen since the trial began
   * @param reference - what is usual at the service's other endpoints, if it is known
   * @returns whether the trial has failed
   */
  abstract failsTrial (observation: Observation, reference: ServiceReference | undefined): boolean
}
