/** Exit codes of `lavenderturn-ctl`; `docs/configuration-ctl.md` lists them. @public */
export const exitCodes = {
  done: 0,
  /** The declaration is invalid or was not applied, or a call failed. */
  failed: 1,
  badSetting: 2,
  /** It is unknown whether the declaration was accepted. */
  unknown: 3,
  /** The declaration was accepted, but not seen in force on all members within the time limit. */
  pending: 4
} as const

/** @public */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes]
