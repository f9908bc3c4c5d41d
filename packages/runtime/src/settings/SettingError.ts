import { resultCodes } from '@lavenderturn/types'

/** Exit code of a program that got a bad setting. */
export const BAD_SETTING_EXIT_CODE = 2

/** A setting is unknown, missing or malformed; the message names it. @public */
export class SettingError extends Error {
  override readonly name = 'SettingError'

  /**
   * @param setting - the setting as the user wrote it: a flag, an environment variable or an argument
   * @param problem - what is wrong with it
   */
  constructor (readonly setting: string, problem: string) {
    super(`${resultCodes.badSetting.code} bad setting ${setting}: ${problem}`)
  }
}
