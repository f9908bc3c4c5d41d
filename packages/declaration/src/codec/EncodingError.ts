/** Thrown if bytes are not a complete and valid encoding of a declaration or delta. @public */
export class EncodingError extends Error {
  override readonly name = 'EncodingError'
}
