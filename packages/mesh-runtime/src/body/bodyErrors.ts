/** The body exceeds a limit. @internal */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError'
}

/** The body was given up because memory is short. @internal */
export class BodyEvictedError extends Error {
  override readonly name = 'BodyEvictedError'
}

/** The message ended before its body was complete. @internal */
export class IncompleteBodyError extends Error {
  override readonly name = 'IncompleteBodyError'
}
