import type { FailureReason } from '@lavenderturn/decisions'

/** @public */
export interface ExchangeErrorOptions extends ErrorOptions {
  readonly reason: FailureReason
  /** Whether any byte may have reached the other side. */
  readonly sent: boolean
}

/** An exchange with another node or a backend server ended without a whole answer. @public */
export class ExchangeError extends Error {
  override readonly name = 'ExchangeError'
  readonly reason: FailureReason
  readonly sent: boolean

  constructor ({ reason, sent, cause }: ExchangeErrorOptions) {
    super(`exchange ended without a whole answer: ${reason}`, { cause })
    this.reason = reason
    this.sent = sent
  }
}
