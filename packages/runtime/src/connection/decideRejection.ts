/** Bytes that the HTTP parser of a server rejected, or that did not become a request in time. @public */
export interface RejectedInput {
  /** Error code of the parser. */
  readonly code: string
  /** Requests of the connection without a complete response, including one whose body is rejected. */
  readonly unanswered: number
  /** Present if the bytes belong to the body of the newest request: whether the head of its response has been sent. */
  readonly body?: { readonly isAnswered: boolean }
  /** Whether it was decided before that the connection ends after its responses. */
  readonly isFinishing: boolean
}

/** What happens to the connection. @public */
export type Rejection =
  /** The client has left: the connection is closed, whatever is unanswered. */
  | 'close'
  /** The bytes are discarded, since the connection ends anyway. */
  | 'discard'
  /** The connection ends after the responses to the earlier requests, without further bytes. */
  | 'finish'
  /** The same, with a refusal as the last response. */
  | 'refuse'
  /** The request whose body cannot be read is refused in its own response, and the connection ends after it. */
  | 'refuseBody'

/** The client closed its side of the connection inside a request. */
const INCOMPLETE_REQUEST = 'HPE_INVALID_EOF_STATE'

/** The client sent bytes behind a request that it had announced as the last one. */
const BYTES_AFTER_LAST_REQUEST = 'HPE_CLOSED_CONNECTION'

/**
 * Decides what a client gets that sent bytes which are no request. A refusal never takes the place of the response to
 * an earlier request, nor follows the response to a request that it is about.
 *
 * @param input - what was rejected
 * @returns what happens to the connection
 * @internal
 */
export function decideRejection ({ code, unanswered, body, isFinishing }: RejectedInput): Rejection {
  if (isFinishing && body?.isAnswered !== false) return 'discard'
  const earlier = body === undefined ? unanswered : unanswered - 1
  if (code === INCOMPLETE_REQUEST && earlier > 0) return 'close'
  if (code === BYTES_AFTER_LAST_REQUEST) return 'finish'
  if (body === undefined) return 'refuse'
  return body.isAnswered ? 'finish' : 'refuseBody'
}
