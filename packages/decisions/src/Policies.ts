import { AdaptiveConcurrencyLimit } from './admission/AdaptiveConcurrencyLimit'
import { type ConcurrencyLimit } from './admission/ConcurrencyLimit'
import { type EjectionPolicy } from './health/EjectionPolicy'
import { type EndpointPolicy } from './health/EndpointPolicy'
import { OutlierEjection } from './health/OutlierEjection'
import { PowerOfTwoChoices } from './health/PowerOfTwoChoices'
import { DemandShareAllocation } from './limits/DemandShareAllocation'
import { type ShareAllocationPolicy } from './limits/ShareAllocationPolicy'

/** The exchangeable policies of a node, which differ between deployments and baselines. @public */
export interface Policies {
  readonly concurrency: ConcurrencyLimit
  readonly ejection: EjectionPolicy
  readonly endpoint: EndpointPolicy
  readonly shareAllocation: ShareAllocationPolicy
}

/** @public */
export type PolicyOptions = Partial<Policies>

/**
 * Fills in the default policies.
 *
 * @param options - the policies that differ from the defaults
 * @returns the complete set of policies
 * @public
 */
export function createPolicies ({
  concurrency = new AdaptiveConcurrencyLimit(),
  ejection = new OutlierEjection(),
  endpoint = new PowerOfTwoChoices(),
  shareAllocation = new DemandShareAllocation()
}: PolicyOptions = {}): Policies {
  return { concurrency, ejection, endpoint, shareAllocation }
}
