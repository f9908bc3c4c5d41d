/** @public */
export interface QuarantineState {}

/**
 * @returns the empty state
 * @internal
 */
export function createQuarantineState (): QuarantineState {
  return {}
}
