import type { ServerResponse } from 'node:http'

/**
 * Counts the open exchanges of a node. An exchange is open from the head of its request until the last byte of its
 * answer has been sent.
 *
 * @public
 */
export class ExchangeCounter {
  private readonly responses = new Set<ServerResponse>()
  private closing = false
  private waiting: Array<() => void> = []

  /** Number of open exchanges. */
  get count (): number {
    return this.responses.size
  }

  /**
   * Counts an exchange until its response closes.
   *
   * @param res - the response
   */
  track (res: ServerResponse): void {
    this.responses.add(res)
    if (this.closing) res.shouldKeepAlive = false
    res.once('close', () => {
      this.responses.delete(res)
      if (this.responses.size === 0) for (const resolve of this.waiting.splice(0)) resolve()
    })
  }

  /** Adds `connection: close` to all further answers. */
  startClosing (): void {
    this.closing = true
    for (const res of this.responses) if (!res.headersSent) res.shouldKeepAlive = false
  }

  /** Resolves when no exchange is open. */
  async waitUntilIdle (): Promise<void> {
    if (this.responses.size === 0) return
    await new Promise<void>((resolve) => { this.waiting.push(resolve) })
  }
}
