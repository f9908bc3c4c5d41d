import { type EndpointPolicy } from './health/EndpointPolicy'
import { RandomEndpointPolicy } from './health/RandomEndpointPolicy'

/** Behaviour that varies between deployments and baselines. @public */
export interface Policies {
  readonly endpoint: EndpointPolicy
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
export function createPolicies ({ endpoint = new RandomEndpointPolicy() }: PolicyOptions = {}): Policies {
  return { endpoint }
}
