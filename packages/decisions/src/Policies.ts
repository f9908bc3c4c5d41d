import { type EndpointPolicy } from './health/EndpointPolicy'
import { RandomEndpointPolicy } from './health/RandomEndpointPolicy'
import { DemandShareAllocation } from './limits/DemandShareAllocation'
import { type ShareAllocationPolicy } from './limits/ShareAllocationPolicy'

/** Behaviour that varies between deployments and baselines. @public */
export interface Policies {
  readonly endpoint: EndpointPolicy
  readonly shareAllocation: ShareAllocationPolicy
}

/** @public */
export type PolicyOptions = Partial<Policies>

/**
 * Fills in the default policies.
 *
 * @param options - the policies that differ from the defaults
 * @returns a complete set
 * @public
 */
export function createPolicies ({
  endpoint = new RandomEndpointPolicy(),
  shareAllocation = new DemandShareAllocation()
}: PolicyOptions = {}): Policies {
  return { endpoint, shareAllocation }
}
