import type {
  AttemptId, EndpointId, Fingerprint, IdempotencyKey, KeyHash, Millis, NodeId, RequestId, ResultCodeName, TeamId
} from '@lavenderturn/types'
import type { RouteEntry } from '@lavenderturn/declaration'

/** The step of its processing that a request is in. @public */
export type RequestPhase = 'charging' | 'claiming' | 'forwarding' | 'answering'

/** Destination and start time of an attempt. @public */
export interface ForwardedAttempt {
  readonly endpoint: EndpointId
  readonly node: NodeId
  readonly at: Millis
}

/** One request in flight at the gateway. @public */
export interface GatewayRequest {
  readonly id: RequestId
  readonly route: RouteEntry
  /** Absent on open routes. */
  readonly team?: TeamId
  readonly keyHash?: KeyHash
  readonly fingerprint: Fingerprint
  readonly idempotencyKey?: IdempotencyKey
  readonly deadline: Millis
  phase: RequestPhase
  attempts: number
  attempt?: AttemptId
  /** The attempt in progress; cleared once its end has been reported to the health slice. */
  forwardedAttempt?: ForwardedAttempt
  /** Endpoints that attempts were sent to; retries exclude them. */
  readonly triedEndpoints: Set<EndpointId>
  /** Whether a backend server may have received one of the attempts that have ended. */
  mayHaveRun: boolean
  /** HTTP status of the response being relayed. */
  status?: number
  /** Result of the last failed attempt, returned to the caller if there is no endpoint left for a retry. */
  lastResult?: ResultCodeName
}

/** @public */
export interface GatewayState {
  readonly requests: Map<RequestId, GatewayRequest>
  /** Sequence number of the next attempt; part of its attempt id. */
  nextAttempt: number
  /** Number of retries that may still be sent; each arriving request adds a fraction of one. */
  retryBudget: number
}

/** Maximum and initial value of the retry budget. */
export const RETRY_BUDGET_CAPACITY = 10

/**
 * @returns the initial state of a gateway
 * @internal
 */
export function createGatewayState (): GatewayState {
  return { requests: new Map(), nextAttempt: 0, retryBudget: RETRY_BUDGET_CAPACITY }
}
