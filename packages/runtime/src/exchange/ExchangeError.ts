import type { FailureReason } from '@lavenderturn/decisions'

/** @public */
export interface ExchangeErrorOptions extends ErrorOptions {
  readonly reason: FailureReason
  /** Whether the other side may have received part of the request. */
  readonly sent: boolean
}

/** Thrown when an exchange with another node or a backend server ends without a complete answer. @public */
export class ExchangeError extends Error {
  override readonly name = 'ExchangeError'
  readonly reason: FailureReason
  readonly sent: boolean

  constructor ({ reason, sent, cause }: ExchangeErrorOptions) {
    super(`exchange ended without a complete answer: ${reason}`, { cause })
    this.reason = reason
    this.sent = sent
  }
}
