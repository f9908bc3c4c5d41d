/** @public */
export type ControlEffect = never
