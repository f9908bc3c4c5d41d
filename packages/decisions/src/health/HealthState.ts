import type { EndpointId } from '@lavenderturn/types'
import type { LoadReport } from './LoadReport'

/** @public */
export interface HealthState {
  /** Latest report of each endpoint that this gateway has used. */
  readonly loads: Map<EndpointId, LoadReport>
}

/**
 * @returns the state of a gateway that has used no endpoint
 * @internal
 */
export function createHealthState (): HealthState {
  return { loads: new Map() }
}
