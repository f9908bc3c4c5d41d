/** @public */
export interface IdempotencyState {}

/**
 * @returns the empty state
 * @internal
 */
export function createIdempotencyState (): IdempotencyState {
  return {}
}
