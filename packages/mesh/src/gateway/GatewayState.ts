import type { Fingerprint, GrantId, KeyHash, Millis, NodeId, RequestId, ServiceId, TeamId } from '@lavenderturn/types'
import type { ReservationId } from '../admission/ReservationId'
import type { RouteRule } from '../configuration/FleetConfiguration'

/** A slot request that has not been granted or refused yet. @public */
export interface SlotRequest {
  readonly node: NodeId
  readonly askedAt: Millis
  /** `missed`: no reply arrived in time. A late reply is still accepted. */
  state: 'asked' | 'queued' | 'missed'
}

/** A request that was forwarded to another node. @public */
export interface ForwardedAttempt {
  readonly reservation: ReservationId
  readonly node: NodeId
  readonly sentAt: Millis
  /** Whether the backend server is known to have received the request. */
  started: boolean
  /** Whether the connection to the other node was lost and the answer is being recovered. */
  recovering: boolean
  /** When recovery started. */
  recoveringSince?: Millis
  /** Whether the answer has been requested on a new connection. */
  fetching: boolean
}

/** What a request is waiting for: a token of the team's rate, a slot or an answer. @public */
export type RequestPhase = 'charging' | 'reserving' | 'forwarding'

/** A caller's request while the gateway handles it. @public */
export interface GatewayRequest {
  readonly id: RequestId
  /** Request id supplied by the caller, for logs. */
  readonly callerRequestId: string
  readonly route: RouteRule
  readonly service: ServiceId
  readonly team?: TeamId
  readonly keyHash?: KeyHash
  readonly priority: number
  readonly fingerprint: Fingerprint
  readonly bodyBytes: number
  readonly arrivedAt: Millis
  readonly deadline: Millis
  phase: RequestPhase
  /** Unanswered token requests and the nodes they were sent to. A late reply is still accepted. */
  readonly grants: Map<GrantId, NodeId>
  /** Owners of the team's rate asked so far. Exceeds their number while the gateway waits for late replies. */
  ownersAsked: number
  readonly slotRequests: Map<ReservationId, SlotRequest>
  /** Nodes that refused in the current round. */
  readonly refusedBy: Set<NodeId>
  /** Nodes whose backend server received the request. */
  readonly sentTo: Set<NodeId>
  /** Rounds in which every candidate refused. */
  rounds: number
  /** Whether suspect servers are accepted, because a round was refused or the request has waited for a long time. */
  acceptSuspect: boolean
  currentAttempt?: ForwardedAttempt
  /** Earlier attempt that takes much longer than usual. Continues beside the current one; the first answer counts. */
  slowAttempt?: ForwardedAttempt
  /** Whether slots at other servers are requested although the current attempt continues. */
  isSwitching: boolean
  /** Attempt whose answer is an error, relayed to the caller if no later attempt succeeds. */
  failedAnswer?: ReservationId
  /** Whether a backend server may have run the request. */
  mayHaveRun: boolean
}

/** @public */
export interface GatewayState {
  readonly requests: Map<RequestId, GatewayRequest>
  /** Exchanges with callers, from the head of the request to the last byte of the response. */
  openExchanges: number
  /** Sequence number for reservation and grant ids. */
  nextNumber: number
  /** Further attempts that may currently be sent to each service. */
  readonly retryBudgets: Map<ServiceId, number>
  /** Moving average of the time from forwarding a request to its answer in milliseconds, by route and service. */
  readonly routeTimes: Map<string, number>
}

/**
 * @returns the state of a gateway without requests
 * @internal
 */
export function createGatewayState (): GatewayState {
  return { requests: new Map(), openExchanges: 0, nextNumber: 0, retryBudgets: new Map(), routeTimes: new Map() }
}
