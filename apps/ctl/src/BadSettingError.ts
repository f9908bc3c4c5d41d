/** Thrown for settings that cannot be used together or are missing. @internal */
export class BadSettingError extends Error {
  override readonly name = 'BadSettingError'
}
