/** Thrown for bytes that are not a whole, valid encoding. @public */
export class EncodingError extends Error {
  override readonly name = 'EncodingError'
}
