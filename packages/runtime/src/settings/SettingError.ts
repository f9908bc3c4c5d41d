import { resultCodes } from '@lavenderturn/types'

/** Exit code of a program with an invalid setting. */
export const BAD_SETTING_EXIT_CODE = 2

/** Thrown for a setting that is unknown, missing or malformed; the message names the setting. @public */
export class SettingError extends Error {
  override readonly name = 'SettingError'

  /**
   * @param setting - the setting as the user gave it: a flag, an environment variable or an argument
   * @param problem - the reason why it is invalid
   */
  constructor (readonly setting: string, problem: string) {
    super(`${resultCodes.badSetting.code} bad setting ${setting}: ${problem}`)
  }
}
