/** @public */
export type QuarantineEffect = never
