import type { Fingerprint, GrantId, KeyHash, Millis, NodeId, RequestId, ServiceId, TeamId } from '@lavenderturn/types'
import type { ReservationId } from '../admission/ReservationId'
import type { RouteRule } from '../configuration/FleetConfiguration'

/** A question for a slot that is not decided yet. @public */
export interface SlotRequest {
  readonly node: NodeId
  readonly askedAt: Millis
  /** `missed`: no answer came in time; a late one still counts. */
  state: 'asked' | 'queued' | 'missed'
}

/** A request that was sent to another node. @public */
export interface ForwardedAttempt {
  readonly reservation: ReservationId
  readonly node: NodeId
  readonly sentAt: Millis
  /** Whether the backend server is known to have got it. */
  started: boolean
  /** Whether the connection to the other node broke and the answer is sought by other means. */
  recovering: boolean
  /** When the search for the answer began. */
  recoveringSince?: Millis
  /** Whether the answer has been asked for on a new connection. */
  fetching: boolean
}

/** What a request waits for. @public */
export type RequestPhase = 'charging' | 'reserving' | 'forwarding'

/** One caller's request. @public */
export interface GatewayRequest {
  readonly id: RequestId
  /** The id that the caller gave, for logs. */
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
  /** Questions for a token that may still be answered, and who was asked; a late answer counts like any other. */
  readonly grants: Map<GrantId, NodeId>
  /** Keepers that have been asked, more than there are once the last answers are waited for. */
  ownersAsked: number
  readonly slotRequests: Map<ReservationId, SlotRequest>
  /** Nodes that refused in this round. */
  readonly refusedBy: Set<NodeId>
  /** Nodes whose backend server has got the request. */
  readonly sentTo: Set<NodeId>
  /** Rounds in which every candidate refused. */
  rounds: number
  /** Whether a round was refused because servers were suspect; the next one asks for them all the same. */
  acceptSuspect: boolean
  currentAttempt?: ForwardedAttempt
  /** A failure that a backend server answered, kept for the caller in case the next attempt brings nothing better. */
  failedAnswer?: ReservationId
  /** Whether a backend server may have run the request. */
  mayHaveRun: boolean
}

/** @public */
export interface GatewayState {
  readonly requests: Map<RequestId, GatewayRequest>
  /** Numbers for the ids of reservations and grants. */
  nextNumber: number
  /** Further attempts that may be sent to each service now. */
  readonly retryBudgets: Map<ServiceId, number>
  /** Usual time from the start at the backend server to the answer, of each route and service. */
  readonly routeTimes: Map<string, number>
}

/**
 * @returns the state of a gateway without requests
 * @internal
 */
export function createGatewayState (): GatewayState {
  return { requests: new Map(), nextNumber: 0, retryBudgets: new Map(), routeTimes: new Map() }
}
