/** @public */
export interface LimitsState {}

/**
 * @returns the empty state
 * @internal
 */
export function createLimitsState (): LimitsState {
  return {}
}
