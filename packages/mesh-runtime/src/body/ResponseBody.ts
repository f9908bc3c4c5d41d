import type { ServerResponse } from 'node:http'

/** How a body that is passed on while it is read has ended. @internal */
export type BodyEnd =
  /** It was read and sent completely. */
  | 'complete'
  /** Its sender broke it off, or it exceeds a limit. */
  | 'broken'
  /** It was given up, or its receiver has gone. */
  | 'discarded'

/** The body of a response that is passed on to a caller or to another node. @internal */
export abstract class ResponseBody {
  /** Length, if it is known before the body is sent. */
  abstract readonly length: number | undefined

  /** Whether the whole body has been read. */
  abstract readonly isWhole: boolean

  /** Whether the body can be sent: one that is passed on while it is read only once. */
  abstract readonly canSend: boolean

  /** Resolves when a body that is passed on while it is read has ended. */
  abstract readonly whenEnded: Promise<BodyEnd>

  /**
   * Sends the body and ends the response, or closes its connection if the body turns out to be incomplete.
   *
   * @param res - a response whose head was written
   */
  abstract send (res: ServerResponse): void

  /** Frees the body. One that is being sent is freed when its response has been sent or its connection is closed. */
  abstract discard (): void
}
