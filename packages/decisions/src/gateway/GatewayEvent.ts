import type {
  AttemptId, BootId, Fingerprint, IdempotencyKey, KeyHash, Millis, RequestId, ResultName
} from '@lavenderturn/types'
import type { LoadReport } from '../health/LoadReport'
import type { EventBase } from '../NodeEvent'

/**
 * Why an exchange with another node or a backend server ended without a whole answer. `cancelled` says nothing of the
 * other side: this side gave up.
 *
 * @public
 */
export type FailureReason = 'connect' | 'reset' | 'timeout' | 'truncated' | 'silent' | 'crossed' | 'cancelled'

/** A caller's request arrived, with its body up to the buffer limit. @public */
export interface RequestArrived extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'requestArrived'
  readonly requestId: RequestId
  readonly method: string
  /** Path without query. */
  readonly path: string
  readonly keyHash?: KeyHash
  /** The caller put its key into the target, where a backend server would see it. */
  readonly keyInTarget: boolean
  /** Declared or measured size; a lower bound for a chunked body that is not complete yet. */
  readonly bodyBytes?: number
  readonly idempotencyKey?: IdempotencyKey
  readonly fingerprint: Fingerprint
  /** Time that the caller is willing to wait. */
  readonly timeout?: Millis
}

/** A body without declared size grew past the limit of its route. @public */
export interface BodyTooLarge extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'bodyTooLarge'
  readonly requestId: RequestId
}

/** The limits slice took the token that a request waited for. @public */
export interface Charged extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'charged'
  readonly requestId: RequestId
}

/** The limits slice gave up on a request that waited for a token. @public */
export interface ChargeRefused extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'chargeRefused'
  readonly requestId: RequestId
  readonly result: ResultName
}

/** The owners recorded the request's idempotency key as new. @public */
export interface Claimed extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'claimed'
  readonly requestId: RequestId
}

/** The request's idempotency key was used before, or cannot be verified. @public */
export interface ClaimRefused extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'claimRefused'
  readonly requestId: RequestId
  readonly result: ResultName
  /** State of the first run, for the caller. */
  readonly detail?: string
}

/** The head of an answer arrived; a short answer is complete. @public */
export interface ForwardAnswered extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'forwardAnswered'
  readonly requestId: RequestId
  readonly attemptId: AttemptId
  readonly status: number
  readonly load?: LoadReport
}

/** Admission, or the backend server itself, gave a result in place of an answer; mostly that it did not run. @public */
export interface ForwardRefused extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'forwardRefused'
  readonly requestId: RequestId
  readonly attemptId: AttemptId
  readonly result: ResultName
  /** With `outcomeUnknown`: the backend server died during the attempt, and this was its boot id. */
  readonly crashedBoot?: BootId
  readonly load?: LoadReport
  /** Whether the body can be sent again; absent means that it can. */
  readonly replayable?: boolean
}

/** An attempt ended without a whole answer. @public */
export interface ForwardFailed extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'forwardFailed'
  readonly requestId: RequestId
  readonly attemptId: AttemptId
  readonly reason: FailureReason
  /** Whether any byte may have reached the other node. */
  readonly sent: boolean
  /** Whether the body can be sent again. */
  readonly replayable: boolean
}

/** The answer was relayed to the caller, or broke off. @public */
export interface AnswerEnded extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'answerEnded'
  readonly requestId: RequestId
  readonly complete: boolean
}

/** The caller closed its connection. @public */
export interface CallerGone extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'callerGone'
  readonly requestId: RequestId
}

/** The request's deadline passed. @public */
export interface DeadlinePassed extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'deadlinePassed'
  readonly requestId: RequestId
}

/** @public */
export type GatewayEvent =
  | AnswerEnded
  | BodyTooLarge
  | CallerGone
  | Charged
  | ChargeRefused
  | Claimed
  | ClaimRefused
  | DeadlinePassed
  | ForwardAnswered
  | ForwardFailed
  | ForwardRefused
  | RequestArrived
