/** Thrown when a required setting is missing or settings conflict. @internal */
export class BadSettingError extends Error {
  override readonly name = 'BadSettingError'
}
