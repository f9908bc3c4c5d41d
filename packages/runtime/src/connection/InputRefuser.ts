import type { ServerResponse } from 'node:http'
import type { RejectedInput } from './decideRejection'

/** Refuses what clients send that is no request, in the form of a program's responses. @public */
export abstract class InputRefuser {
  /**
   * @param code - error code of the parser
   * @returns a complete response that closes the connection
   */
  abstract composeRefusal (code: string): string

  /**
   * Refuses a request whose body cannot be read.
   *
   * @param res - its response, whose head has not been sent
   */
  abstract refuseBody (res: ServerResponse): void

  /**
   * Called before anything is refused.
   *
   * @param input - what was rejected
   */
  abstract report (input: RejectedInput): void
}
