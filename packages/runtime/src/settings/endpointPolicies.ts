import { PowerOfTwoChoices, RandomEndpointPolicy } from '@lavenderturn/decisions'

/** Endpoint policies by the names that settings use. */
export const endpointPolicies = {
  'two-choices': () => new PowerOfTwoChoices(),
  random: () => new RandomEndpointPolicy()
} as const
