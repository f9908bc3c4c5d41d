import type {
  Address, DataCentreId, EndpointId, Fingerprint, GrantId, NodeId, Revision, ServiceId, TeamId
} from '@lavenderturn/types'
import type { ReservationId } from '../admission/ReservationId'
import type { QueryId } from '../configuration/RelayState'
import type { StoreEra } from '../configuration/StorePosition'
import type { RolloutEvidenceMessage, RolloutNotice, RolloutStepMessage } from './RolloutMessage'

/** Load and health of a backend server, as reported by its admission. @public */
export interface LoadSummary {
  /** Whether it accepts new work. */
  readonly open: boolean
  readonly slots: number
  /** Slots that are granted or in use. */
  readonly used: number
  readonly queued: number
  /** Whether recent results make a gray failure likely. */
  readonly suspect: boolean
  /** Share of recent results that were the server's own errors. */
  readonly errorRate: number
  /** Mean service time in milliseconds; 0 if unknown. */
  readonly serviceMs: number
  /**
   * Time in milliseconds until the server should get a request, so that the evidence about it is renewed; negative if
   * that time has passed.
   */
  readonly dueMs: number
  /** Time in milliseconds until the server takes another request by the limit that it has named; 0 without a limit. */
  readonly limitDelayMs: number
}

/** Sent to every node at intervals to show that the sender is running and reachable. @public */
export interface HeartbeatMessage {
  readonly kind: 'beat'
  readonly node: NodeId
  readonly boot: string
  readonly load: LoadSummary
  readonly revision: Revision
  /** Whether the sender is shutting down on purpose. Its server may take work for a while; `load` tells whether. */
  readonly leaving: boolean
  /** Whether the sender receives heartbeats from the receiver. Datagrams may get through in one direction only. */
  readonly hearsReceiver: boolean
}

/** Introduces the sender to a node that may not know it. @public */
export interface HelloMessage {
  readonly kind: 'hello'
  readonly node: NodeId
  readonly boot: string
  readonly dataCentre: DataCentreId
  readonly service: ServiceId
  readonly peerAddress: Address
  readonly forwardAddress: Address
  /** Whether the receiver should introduce itself in return. */
  readonly wantsReply: boolean
  /** Configuration revision that the sender has in force; absent before its first, and from older versions. */
  readonly revision?: Revision
}

/** Requests a slot of the receiver's backend server. @public */
export interface AskSlotMessage {
  readonly kind: 'askSlot'
  readonly reservation: ReservationId
  readonly replyTo: Address
  readonly service: ServiceId
  readonly priority: number
  /** Whether the request may run more than once. */
  readonly repeatable: boolean
  /** Whether the request could be sent to another server if it failed, so that it may try a suspect one. */
  readonly canRetry: boolean
  /** Whether the request accepts a suspect server. */
  readonly acceptSuspect: boolean
  /** Time that the sender can wait for a slot. */
  readonly waitMs: number
  /** Whether the sender's process ends soon, so that the request has less time than others to run. Absent if not. */
  readonly senderStops?: true
  /**
   * Time until the deadline of the request, for a receiver that stops: it takes only what ends before its process.
   * Absent for others.
   */
  readonly endsInMs?: number
}

/** Reason for refusing a reservation. @public */
export type SlotRefusal = 'closed' | 'evacuated' | 'suspect' | 'wrongService' | 'expired' | 'full'

/** Replies to `askSlot`: immediately, and again when a queued reservation gets its slot. @public */
export interface SlotMessage {
  readonly kind: 'slot'
  readonly reservation: ReservationId
  readonly verdict: 'granted' | 'queued' | 'refused'
  readonly refusal?: SlotRefusal
  readonly load: LoadSummary
}

/** Releases an unused reservation. @public */
export interface ReleaseMessage {
  readonly kind: 'release'
  readonly reservation: ReservationId
}

/**
 * Cancels the work of a reservation because its caller has disconnected or timed out, or because the gateway gave the
 * attempt up.
 *
 * @public
 */
export interface CancelMessage {
  readonly kind: 'cancel'
  readonly reservation: ReservationId
}

/** Reports that a forwarded request was received and dispatched to the backend server. @public */
export interface StartedMessage {
  readonly kind: 'started'
  readonly reservation: ReservationId
}

/**
 * Requests the state of a forwarded request. A request that has not been started will never be started afterwards.
 *
 * @public
 */
export interface RecallMessage {
  readonly kind: 'recall'
  readonly reservation: ReservationId
  readonly replyTo: Address
}

/** Replies to `recall`. @public */
export interface RecalledMessage {
  readonly kind: 'recalled'
  readonly reservation: ReservationId
  /** `unknown`: the receiver has restarted since, or has already removed the result. */
  readonly attemptState: 'notStarted' | 'running' | 'done' | 'unknown'
}

/** Requests a token for one request from an owner of the team's rate. @public */
export interface AskTokenMessage {
  readonly kind: 'askToken'
  readonly grant: GrantId
  readonly node: NodeId
  readonly replyTo: Address
  readonly team: TeamId
}

/** Replies to `askToken`. @public */
export interface TokenMessage {
  readonly kind: 'token'
  readonly grant: GrantId
  readonly granted: boolean
  /** Time until a token may be available, if refused. */
  readonly waitMs: number
}

/** Reports that a backend server crashed while it was running requests with this fingerprint. @public */
export interface CrashMessage {
  readonly kind: 'crash'
  readonly fingerprint: Fingerprint
  readonly endpoint: EndpointId
  readonly startedAt: number
}

/** Asks how old the receiver's confirmation of the configuration is. @public */
export interface AskConfirmationMessage {
  readonly kind: 'askConfirmation'
  readonly query: QueryId
  readonly replyTo: Address
}

/** Replies to `askConfirmation`. @public */
export interface ConfirmationMessage {
  readonly kind: 'confirmation'
  readonly query: QueryId
  readonly node: NodeId
  /** Whether the sender follows the store itself. */
  readonly following: boolean
  readonly revision: Revision
  /** Version of the store at the sender's latest reading. */
  readonly version: number
  /** Time in milliseconds since the store confirmed what the sender has. */
  readonly ageMs: number
  /** Data centres that operators have taken out. */
  readonly evacuated: readonly DataCentreId[]
  /** Era of `version`. */
  readonly era: StoreEra
  /** Roll-outs that the sender knows of; absent if it does not know all of them, or none can be ordered. */
  readonly rollouts?: readonly RolloutNotice[]
}

/** Datagrams exchanged between nodes. @public */
export type PeerMessage =
  | AskConfirmationMessage
  | AskSlotMessage
  | AskTokenMessage
  | HeartbeatMessage
  | CancelMessage
  | ConfirmationMessage
  | CrashMessage
  | HelloMessage
  | RecalledMessage
  | RecallMessage
  | ReleaseMessage
  | RolloutEvidenceMessage
  | RolloutStepMessage
  | SlotMessage
  | StartedMessage
  | TokenMessage
