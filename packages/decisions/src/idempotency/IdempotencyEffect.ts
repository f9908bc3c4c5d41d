/** @public */
export type IdempotencyEffect = never
