import { PowerOfTwoChoices, RandomEndpointPolicy } from '@lavenderturn/decisions'

/** Endpoint policies by their names in the settings. */
export const endpointPolicies = {
  'two-choices': () => new PowerOfTwoChoices(),
  random: () => new RandomEndpointPolicy()
} as const
