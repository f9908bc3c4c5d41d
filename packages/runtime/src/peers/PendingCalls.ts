import { type CallId, toId } from '@lavenderturn/types'

/**
 * Calls that wait for the reducer's answer. The route of a call sends the reducer an event with the id of the call; an
 * effect with the same id answers it.
 *
 * @public
 */
export class PendingCalls<Answer> {
  private readonly resolvers = new Map<CallId, (answer: Answer) => void>()
  private nextCallNumber = 0

  /**
   * Opens a call.
   *
   * @param start - sends the reducer the event with the id of the call
   * @returns the answer
   */
  async open (start: (callId: CallId) => void): Promise<Answer> {
    const callId = toId<CallId>(String(this.nextCallNumber++))
    return await new Promise((resolve) => {
      this.resolvers.set(callId, resolve)
      start(callId)
    })
  }

  /**
   * Answers a call; a call that is not open is ignored.
   *
   * @param callId - the call
   * @param answer - its answer
   */
  answer (callId: CallId, answer: Answer): void {
    this.resolvers.get(callId)?.(answer)
    this.resolvers.delete(callId)
  }
}
