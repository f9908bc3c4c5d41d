import { RandomEndpointPolicy } from '@lavenderturn/decisions'

/** Endpoint policies by the names that settings use. */
export const endpointPolicies = {
  random: () => new RandomEndpointPolicy()
} as const
