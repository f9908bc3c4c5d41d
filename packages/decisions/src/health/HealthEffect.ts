/** @public */
export type HealthEffect = never
