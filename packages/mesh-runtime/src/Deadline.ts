/**
 * Aborts a call after a timeout, or when the parent signal aborts.
 *
 * `AbortSignal.any` with `AbortSignal.timeout` would be shorter, but on Node 20 the timeout may be garbage collected
 * while the call is still waiting, and a call on a silent connection then never ends.
 *
 * @internal
 */
export class Deadline {
  private readonly controller = new AbortController()
  private readonly timer: NodeJS.Timeout
  private readonly abortWithParent = (): void => { this.controller.abort() }

  /**
   * @param timeoutMs - time after which the call is aborted
   * @param parentSignal - also aborts the call
   */
  constructor (timeoutMs: number, private readonly parentSignal?: AbortSignal) {
    this.timer = setTimeout(() => { this.controller.abort(new Error(`no response within ${timeoutMs} ms`)) }, timeoutMs)
    parentSignal?.addEventListener('abort', this.abortWithParent)
  }

  /** Signal to pass to the call. */
  get signal (): AbortSignal {
    return this.controller.signal
  }

  /**
   * Aborts the call now.
   *
   * @param reason - error that the call fails with
   */
  abort (reason: Error): void {
    this.controller.abort(reason)
  }

  /** Releases the timer and the listener on the parent signal once the call has ended. */
  clear (): void {
    clearTimeout(this.timer)
    this.parentSignal?.removeEventListener('abort', this.abortWithParent)
  }
}
