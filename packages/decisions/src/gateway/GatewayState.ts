import type {
  AttemptId, EndpointId, Fingerprint, IdempotencyKey, KeyHash, Millis, NodeId, RequestId, ResultName, TeamId
} from '@lavenderturn/types'
import type { RouteEntry } from '@lavenderturn/declaration'

/** What a request is waiting for. @public */
export type RequestPhase = 'charging' | 'claiming' | 'forwarding' | 'answering'

/** An attempt on its way. @public */
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
  /** Where the attempt went, until its end has been reported to health. */
  forwarded?: ForwardedAttempt
  /** Endpoints that refused or failed, which a retry avoids. */
  readonly tried: Set<EndpointId>
  /** Whether a backend server may have received any attempt so far. */
  mayHaveRun: boolean
  /** HTTP status of the answer that is being relayed. */
  status?: number
  /** The result of the latest attempt that ended, for the caller when no other attempt follows. */
  lastResult?: ResultName
}

/** @public */
export interface GatewayState {
  readonly requests: Map<RequestId, GatewayRequest>
  /** Number of the next attempt; part of attempt ids. */
  nextAttempt: number
  /** Attempts that retries may still use; filled by first attempts. */
  retryBudget: number
}

/** Retries that may follow each other before first attempts have filled the budget. */
export const RETRY_BUDGET_CAPACITY = 10

/**
 * @returns the state of a gateway without requests
 * @internal
 */
export function createGatewayState (): GatewayState {
  return { requests: new Map(), nextAttempt: 0, retryBudget: RETRY_BUDGET_CAPACITY }
}
