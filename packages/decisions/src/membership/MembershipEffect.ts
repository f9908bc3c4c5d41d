/** @public */
export type MembershipEffect = never
