import type { Fingerprint, KeyHash, Millis, RequestId, ResultCodeName } from '@lavenderturn/types'
import type { ReservationId } from '../admission/ReservationId'
import type { EventBase } from '../MeshEvent'
import type { RecalledMessage, SlotMessage, SlotRefusal, TokenMessage } from '../messages/PeerMessage'

interface GatewayEventBase extends EventBase {
  readonly slice: 'gateway'
}

/** The head of a caller's request was received; its exchange stays open until the response is written. @public */
export interface ExchangeOpened extends GatewayEventBase {
  readonly type: 'exchangeOpened'
}

/** A caller's response was written completely, or its connection was closed. @public */
export interface ExchangeClosed extends GatewayEventBase {
  readonly type: 'exchangeClosed'
}

/** A caller's request was refused before it was received completely. @public */
export interface ExchangeRefused extends GatewayEventBase {
  readonly type: 'exchangeRefused'
  /** Empty if it is not known. */
  readonly callerRequestId: string
  readonly result: ResultCodeName
  readonly detail: string
}

/** The rest of a response did not arrive while it was passed on to a caller, whose connection was closed. @public */
export interface ResponseBroken extends GatewayEventBase {
  readonly type: 'responseBroken'
  readonly callerRequestId: string
}

/** A connection was closed because too many requests waited on it. @public */
export interface ConnectionOverflowed extends GatewayEventBase {
  readonly type: 'connectionOverflowed'
  readonly waiting: number
}

/** The HTTP parser rejected bytes of a caller, or they did not become a request in time. @public */
export interface InputRejected extends GatewayEventBase {
  readonly type: 'inputRejected'
  /** Error code of the HTTP parser. */
  readonly code: string
  /** Requests of the connection without a complete response, including one whose body is rejected. */
  readonly unanswered: number
}

/** Connections were not accepted because too many are open. @public */
export interface ConnectionsDropped extends GatewayEventBase {
  readonly type: 'connectionsDropped'
  /** Whose connections. */
  readonly port: 'callers' | 'nodes'
  readonly count: number
}

/** A caller's request was received with its complete body. @public */
export interface RequestArrived extends GatewayEventBase {
  readonly type: 'requestArrived'
  readonly requestId: RequestId
  readonly callerRequestId: string
  /** Host name in lower case, without the port. */
  readonly host: string
  /** Path without the query string. */
  readonly path: string
  readonly keyHash?: KeyHash
  readonly fingerprint: Fingerprint
  readonly bodyBytes: number
  /** Timeout that the caller requested. */
  readonly callerTimeout?: Millis
  /** Time since the head of the request was received. */
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

/** Timer: checks whether slot requests were left unanswered. @public */
export interface QuestionsDue extends GatewayEventBase {
  readonly type: 'questionsDue'
  readonly requestId: RequestId
}

/** Timer: requests a token again. @public */
export interface TokenDue extends GatewayEventBase {
  readonly type: 'tokenDue'
  readonly requestId: RequestId
}

/** Timer: starts the next round of slot requests. @public */
export interface RoundDue extends GatewayEventBase {
  readonly type: 'roundDue'
  readonly requestId: RequestId
}

/** The other node dispatched the request to its backend server. @public */
export interface AttemptStarted extends GatewayEventBase {
  readonly type: 'attemptStarted'
  readonly reservation: ReservationId
}

/** Timer: asks the other node for the state of an attempt. @public */
export interface RecallDue extends GatewayEventBase {
  readonly type: 'recallDue'
  readonly requestId: RequestId
}

/** @public */
export interface AttemptRecalled extends GatewayEventBase {
  readonly type: 'attemptRecalled'
  readonly message: RecalledMessage
}

/** Timer: the attempt is taking much longer than usual. @public */
export interface SwitchDue extends GatewayEventBase {
  readonly type: 'switchDue'
  readonly requestId: RequestId
}

/** The outcome of an attempt as reported by the other node. @public */
export type AttemptResult =
  /** The backend server answered, and the runtime holds the complete answer. `failed`: the answer is an error. */
  | { readonly kind: 'answered', readonly failed: boolean }
  /** The other node refused the request before it reached a backend server. */
  | { readonly kind: 'rejected', readonly refusal: SlotRefusal }
  /** The backend server states that it did not run the request. */
  | { readonly kind: 'declined' }
  /** The connection to the backend server failed. */
  | { readonly kind: 'unreachable' }
  /** The backend server received the request but returned no usable answer. */
  | { readonly kind: 'broken' }

/** @public */
export interface AttemptEnded extends GatewayEventBase {
  readonly type: 'attemptEnded'
  readonly requestId: RequestId
  readonly reservation: ReservationId
  readonly result: AttemptResult
}

/** The connection to the other node failed, or was lost before the complete answer arrived. @public */
export interface AttemptLost extends GatewayEventBase {
  readonly type: 'attemptLost'
  readonly requestId: RequestId
  readonly reservation: ReservationId
  /** Whether any bytes were sent. */
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
  | ConnectionOverflowed
  | ConnectionsDropped
  | DeadlinePassed
  | ExchangeClosed
  | ExchangeOpened
  | ExchangeRefused
  | InputRejected
  | QuestionsDue
  | RecallDue
  | RequestArrived
  | ResponseBroken
  | RoundDue
  | SlotAnswered
  | SwitchDue
  | TokenAnswered
  | TokenDue
