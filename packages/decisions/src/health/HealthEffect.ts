import type { Address, CallId, EndpointId, Millis, NodeId, ServiceId } from '@lavenderturn/types'
import type { PermitAnswer } from './HealthEvent'

/** Requests a permit from the owner of a service to eject an endpoint or to keep it ejected. @public */
export interface AskPermit {
  readonly slice: 'health'
  readonly type: 'askPermit'
  readonly owner: NodeId
  readonly address: Address
  readonly service: ServiceId
  readonly endpoint: EndpointId
  /** On the holder's clock; returned with the answer. */
  readonly askedAt: Millis
}

/** Returns a permit to the owner. @public */
export interface ReleasePermit {
  readonly slice: 'health'
  readonly type: 'releasePermit'
  readonly owner: NodeId
  readonly address: Address
  readonly service: ServiceId
  readonly endpoint: EndpointId
  /** Time of the last request for the permit; the owner ignores a release that is older than its permit. */
  readonly askedAt: Millis
}

/** Answers the node that requested a permit. @public */
export interface AnswerPermit {
  readonly slice: 'health'
  readonly type: 'answerPermit'
  readonly callId: CallId
  readonly service: ServiceId
  readonly answer: PermitAnswer
}

/** Opens a new connection to a backend server; the result is reported as `admission/serverProbed`. @public */
export interface ProbeServer {
  readonly slice: 'health'
  readonly type: 'probeServer'
  readonly endpoint: EndpointId
  readonly address: Address
}

/** @public */
export type HealthEffect = AnswerPermit | AskPermit | ProbeServer | ReleasePermit
