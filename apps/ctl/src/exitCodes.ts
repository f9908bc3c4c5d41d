/** Exit codes of `lavenderturn-ctl`; `docs/configuration-ctl.md` lists them. @public */
export const exitCodes = {
  done: 0,
  /** The declaration is invalid, it was not applied, or a call failed. */
  failed: 1,
  badSetting: 2,
  /** Whether the declaration was accepted is unknown. */
  unknown: 3,
  /** Accepted, but not seen in force on every member within the waiting time. */
  pending: 4
} as const

/** @public */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes]
