import type { CallId, EndpointId, Millis, NodeId, ServiceId } from '@lavenderturn/types'
import type { FailureReason } from '../gateway/GatewayEvent'
import type { EventBase } from '../NodeEvent'
import type { LoadReport } from './LoadReport'

/** How an attempt of a gateway ended. @public */
export type AttemptOutcome =
  /** The node replied with a response or a refusal. */
  | { readonly kind: 'replied' }
  | { readonly kind: 'failed', readonly reason: FailureReason }
  /** The gateway cancelled the attempt. */
  | { readonly kind: 'cancelled' }

/** An attempt of this gateway ended. @public */
export interface AttemptEnded extends EventBase {
  readonly slice: 'health'
  readonly type: 'attemptEnded'
  readonly endpoint: EndpointId
  readonly node: NodeId
  readonly outcome: AttemptOutcome
  /** Time since the attempt was forwarded. */
  readonly latency: Millis
  readonly load?: LoadReport
}

/** The owner's answer to a permit request. @public */
export type PermitAnswer =
  | { readonly kind: 'granted', readonly lifetime: Millis }
  /** `floor`: the ejection would leave too few healthy slots; `unready`: the owner cannot grant permits now. */
  | { readonly kind: 'denied', readonly reason: 'floor' | 'unready' }

/** A node, possibly this one, requested a permit from this node as the owner. @public */
export interface PermitAsked extends EventBase {
  readonly slice: 'health'
  readonly type: 'permitAsked'
  readonly callId: CallId
  readonly holder: NodeId
  readonly service: ServiceId
  readonly endpoint: EndpointId
  /** Time of the request on the holder's clock. */
  readonly askedAt: Millis
}

/** The holder of a permit returned it. @public */
export interface PermitReleased extends EventBase {
  readonly slice: 'health'
  readonly type: 'permitReleased'
  readonly holder: NodeId
  readonly service: ServiceId
  readonly endpoint: EndpointId
  /** Time of the request on the holder's clock. */
  readonly askedAt: Millis
}

/** The owner answered this node's permit request. @public */
export interface PermitAnswered extends EventBase {
  readonly slice: 'health'
  readonly type: 'permitAnswered'
  readonly endpoint: EndpointId
  readonly askedAt: Millis
  readonly answer: PermitAnswer
}

/** The owner did not answer this node's permit request. @public */
export interface PermitUnanswered extends EventBase {
  readonly slice: 'health'
  readonly type: 'permitUnanswered'
  readonly endpoint: EndpointId
  readonly askedAt: Millis
}

/** Timer for what is not triggered by a response: overdue requests, permits, trials and connection probes. @public */
export interface HealthTicked extends EventBase {
  readonly slice: 'health'
  readonly type: 'ticked'
}

/** @public */
export type HealthEvent =
  | AttemptEnded
  | HealthTicked
  | PermitAnswered
  | PermitAsked
  | PermitReleased
  | PermitUnanswered
