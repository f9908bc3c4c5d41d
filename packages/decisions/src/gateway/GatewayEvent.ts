import type {
  AttemptId, BootId, Fingerprint, IdempotencyKey, KeyHash, Millis, RequestId, ResultCodeName
} from '@lavenderturn/types'
import type { LoadReport } from '../health/LoadReport'
import type { EventBase } from '../NodeEvent'

/**
 * Why an exchange with another node or a backend server ended without a complete response.
 *
 * - `silent`: the connection moved no data, although a probe over a fresh connection was answered
 * - `crossed`: the response belongs to a different attempt
 * - `cancelled`: this side gave up, which says nothing about the other side
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
  /** Whether the request target contains the caller's key, which a backend server would then see. */
  readonly keyInTarget: boolean
  /** Declared or measured size; a lower bound while a chunked body is incomplete. */
  readonly bodyBytes?: number
  readonly idempotencyKey?: IdempotencyKey
  readonly fingerprint: Fingerprint
  /** How long the caller is willing to wait. */
  readonly timeout?: Millis
}

/** A body without a declared size exceeded the limit of its route. @public */
export interface BodyTooLarge extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'bodyTooLarge'
  readonly requestId: RequestId
}

/** The limits slice took the rate limit token that a request was waiting for. @public */
export interface Charged extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'charged'
  readonly requestId: RequestId
}

/** The limits slice could not get a rate limit token for a waiting request. @public */
export interface ChargeRefused extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'chargeRefused'
  readonly requestId: RequestId
  readonly result: ResultCodeName
}

/** The owners recorded the request's idempotency key as new. @public */
export interface Claimed extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'claimed'
  readonly requestId: RequestId
}

/** The request's idempotency key was used before or cannot be verified. @public */
export interface ClaimRefused extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'claimRefused'
  readonly requestId: RequestId
  readonly result: ResultCodeName
  /** State of the original request, for the caller. */
  readonly detail?: string
}

/** The head of a response arrived, together with the whole body if the body is short. @public */
export interface ForwardAnswered extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'forwardAnswered'
  readonly requestId: RequestId
  readonly attemptId: AttemptId
  readonly status: number
  readonly load?: LoadReport
}

/**
 * The admission or the backend server returned a result code instead of a response, in most cases one that says that
 * the request did not run.
 *
 * @public
 */
export interface ForwardRefused extends EventBase {
  readonly slice: 'gateway'
  readonly type: 'forwardRefused'
  readonly requestId: RequestId
  readonly attemptId: AttemptId
  readonly result: ResultCodeName
  /** With `outcomeUnknown`: boot id of the backend server, if it crashed during the attempt. */
  readonly crashedBoot?: BootId
  readonly load?: LoadReport
  /** Whether the body can be sent again; absent means yes. */
  readonly replayable?: boolean
}

/** An attempt ended without a complete response. @public */
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

/** The response was relayed to the caller or was cut off. @public */
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
