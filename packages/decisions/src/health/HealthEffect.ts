import type { Address, CallId, EndpointId, Millis, NodeId, ServiceId } from '@lavenderturn/types'
import type { PermitAnswer } from './HealthEvent'

/** Asks the owner of a service for a permit to eject an endpoint, or to keep it ejected. @public */
export interface AskPermit {
  readonly slice: 'health'
  readonly type: 'askPermit'
  readonly owner: NodeId
  readonly address: Address
  readonly service: ServiceId
  readonly endpoint: EndpointId
  /** By the holder's clock; comes back with the answer. */
  readonly askedAt: Millis
}

/** Gives a permit back to the owner. @public */
export interface ReleasePermit {
  readonly slice: 'health'
  readonly type: 'releasePermit'
  readonly owner: NodeId
  readonly address: Address
  readonly service: ServiceId
  readonly endpoint: EndpointId
  /** When the permit was last asked for; the owner ignores a release that is older than its permit. */
  readonly askedAt: Millis
}

/** Answers another node that asked for a permit. @public */
export interface AnswerPermit {
  readonly slice: 'health'
  readonly type: 'answerPermit'
  readonly callId: CallId
  readonly service: ServiceId
  readonly answer: PermitAnswer
}

/** Opens a fresh connection to a backend server; `admission/serverProbed` follows. @public */
export interface ProbeServer {
  readonly slice: 'health'
  readonly type: 'probeServer'
  readonly endpoint: EndpointId
  readonly address: Address
}

/** @public */
export type HealthEffect = AnswerPermit | AskPermit | ProbeServer | ReleasePermit
