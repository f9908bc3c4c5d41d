import type { ServerResponse } from 'node:http'

/**
 * Counts the exchanges that a node has begun and not finished, from the head of the request until the last byte of the
 * answer has left.
 *
 * @public
 */
export class ExchangeCounter {
  private readonly responses = new Set<ServerResponse>()
  private closing = false
  private waiting: Array<() => void> = []

  /** How many exchanges are open. */
  get count (): number {
    return this.responses.size
  }

  /**
   * Counts an exchange until its response closes.
   *
   * @param res - the response
   */
  open (res: ServerResponse): void {
    this.responses.add(res)
    if (this.closing) res.shouldKeepAlive = false
    res.once('close', () => {
      this.responses.delete(res)
      if (this.responses.size === 0) for (const resolve of this.waiting.splice(0)) resolve()
    })
  }

  /** From now on each answer tells its caller to close the connection (`connection: close`). */
  startClosing (): void {
    this.closing = true
    for (const res of this.responses) if (!res.headersSent) res.shouldKeepAlive = false
  }

  /** @returns when no exchange is open */
  async whenIdle (): Promise<void> {
    if (this.responses.size === 0) return
    await new Promise<void>((resolve) => { this.waiting.push(resolve) })
  }
}
