import type { Fingerprint, KeyHash, Millis, RequestId } from '@lavenderturn/types'
import type { ReservationId } from '../admission/ReservationId'
import type { EventBase } from '../MeshEvent'
import type { RecalledMessage, SlotMessage, SlotRefusal, TokenMessage } from '../messages/PeerMessage'

interface GatewayEventBase extends EventBase {
  readonly slice: 'gateway'
}

/** A caller's request arrived with its whole body. @public */
export interface RequestArrived extends GatewayEventBase {
  readonly type: 'requestArrived'
  readonly requestId: RequestId
  readonly callerRequestId: string
  /** Host name without port, in lower case. */
  readonly host: string
  /** Path without query. */
  readonly path: string
  readonly keyHash?: KeyHash
  readonly fingerprint: Fingerprint
  readonly bodyBytes: number
  /** How long the caller waits. */
  readonly patience?: Millis
  /** Time that has passed since the head of the request arrived. */
  readonly age: Millis
}

/** @public */
export interface SlotAnswered extends GatewayEventBase {
  readonly type: 'slotAnswered'
  readonly message: SlotMessage
}

/** @public */
export interface TokenAnswered extends GatewayEventBase {
  readonly type: 'tokenAnswered'
  readonly message: TokenMessage
}

/** Time to look whether questions were left unanswered. @public */
export interface QuestionsDue extends GatewayEventBase {
  readonly type: 'questionsDue'
  readonly requestId: RequestId
}

/** Time to ask for a token once more. @public */
export interface TokenDue extends GatewayEventBase {
  readonly type: 'tokenDue'
  readonly requestId: RequestId
}

/** Time for the next round of questions. @public */
export interface RoundDue extends GatewayEventBase {
  readonly type: 'roundDue'
  readonly requestId: RequestId
}

/** The other node handed the request to the backend server. @public */
export interface AttemptStarted extends GatewayEventBase {
  readonly type: 'attemptStarted'
  readonly reservation: ReservationId
}

/** Time to ask what became of an attempt. @public */
export interface RecallDue extends GatewayEventBase {
  readonly type: 'recallDue'
  readonly requestId: RequestId
}

/** @public */
export interface AttemptRecalled extends GatewayEventBase {
  readonly type: 'attemptRecalled'
  readonly message: RecalledMessage
}

/** An attempt takes much longer than usual. @public */
export interface SwitchDue extends GatewayEventBase {
  readonly type: 'switchDue'
  readonly requestId: RequestId
}

/** What the other node made of an attempt. @public */
export type AttemptResult =
  /** The backend server answered; the runtime holds the whole answer. `failed`: it says that the request failed. */
  | { readonly kind: 'answered', readonly failed: boolean }
  /** The other node refused it; no backend server got it. */
  | { readonly kind: 'rejected', readonly refusal: SlotRefusal }
  /** The backend server states that it did not run it. */
  | { readonly kind: 'declined' }
  /** The backend server could not be connected to. */
  | { readonly kind: 'unreachable' }
  /** The backend server got it, and no usable answer came. */
  | { readonly kind: 'broken' }

/** @public */
export interface AttemptEnded extends GatewayEventBase {
  readonly type: 'attemptEnded'
  readonly requestId: RequestId
  readonly reservation: ReservationId
  readonly result: AttemptResult
}

/** The connection to the other node could not be made, or broke before the whole answer came. @public */
export interface AttemptLost extends GatewayEventBase {
  readonly type: 'attemptLost'
  readonly requestId: RequestId
  readonly reservation: ReservationId
  /** Whether any byte was sent. */
  readonly sent: boolean
}

/** The caller closed its connection. @public */
export interface CallerGone extends GatewayEventBase {
  readonly type: 'callerGone'
  readonly requestId: RequestId
}

/** @public */
export interface DeadlinePassed extends GatewayEventBase {
  readonly type: 'deadlinePassed'
  readonly requestId: RequestId
}

/** @public */
export type GatewayEvent =
  | AttemptEnded
  | AttemptLost
  | AttemptRecalled
  | AttemptStarted
  | CallerGone
  | DeadlinePassed
  | QuestionsDue
  | RecallDue
  | RequestArrived
  | RoundDue
  | SlotAnswered
  | SwitchDue
  | TokenAnswered
  | TokenDue
