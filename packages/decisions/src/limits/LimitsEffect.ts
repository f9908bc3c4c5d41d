/** @public */
export type LimitsEffect = never
