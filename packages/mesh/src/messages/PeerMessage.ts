import type {
  Address, DataCentreId, EndpointId, Fingerprint, GrantId, NodeId, Revision, ServiceId, TeamId
} from '@lavenderturn/types'
import type { ReservationId } from '../admission/ReservationId'

/** What an admission tells of its backend server. @public */
export interface LoadSummary {
  /** Whether it takes new work. */
  readonly open: boolean
  readonly slots: number
  /** Slots that are reserved or in use. */
  readonly used: number
  readonly queued: number
  /** Whether recent results make a partial fault likely. */
  readonly suspect: boolean
  /** Share of recent results that were errors of the server's own. */
  readonly errorShare: number
  /** Mean service time, or 0 if it is not known yet. */
  readonly serviceMs: number
}

/** Sent to every node at intervals; shows that the sender runs and can be reached. @public */
export interface HeartbeatMessage {
  readonly kind: 'beat'
  readonly node: NodeId
  readonly boot: string
  readonly load: LoadSummary
  readonly revision: Revision
  /** The sender stops on purpose. */
  readonly leaving: boolean
  /** Whether the sender has heard the receiver lately; datagrams may pass one way only. */
  readonly hearsYou: boolean
}

/** Makes the sender known to a node that may not know it yet. @public */
export interface HelloMessage {
  readonly kind: 'hello'
  readonly node: NodeId
  readonly boot: string
  readonly dataCentre: DataCentreId
  readonly service: ServiceId
  readonly peerAddress: Address
  readonly forwardAddress: Address
  /** Whether the receiver is to make itself known in turn. */
  readonly wantsReply: boolean
}

/** Asks for a slot of the receiver's backend server. @public */
export interface AskSlotMessage {
  readonly kind: 'askSlot'
  readonly reservation: ReservationId
  readonly replyTo: Address
  readonly service: ServiceId
  readonly priority: number
  /** Whether the request may run more than once. */
  readonly repeatable: boolean
  /** Whether the request could go to another server if it failed, so that it may try out a suspect one. */
  readonly canRetry: boolean
  /** Takes the slot also of a server that is suspect. */
  readonly force: boolean
  /** How long the asker can wait for a slot. */
  readonly waitMs: number
}

/** Why an admission refuses a reservation. @public */
export type SlotRefusal = 'closed' | 'evacuated' | 'suspect' | 'wrongService' | 'expired' | 'full'

/** Answers `askSlot`, at once and again when a queued reservation gets its slot. @public */
export interface SlotMessage {
  readonly kind: 'slot'
  readonly reservation: ReservationId
  readonly verdict: 'granted' | 'queued' | 'refused'
  readonly refusal?: SlotRefusal
  readonly load: LoadSummary
}

/** Gives a reservation back that has not been used. @public */
export interface ReleaseMessage {
  readonly kind: 'release'
  readonly reservation: ReservationId
}

/** Drops the work of a reservation: its caller has gone or waits no longer. @public */
export interface CancelMessage {
  readonly kind: 'cancel'
  readonly reservation: ReservationId
}

/** The forwarded request arrived and was handed to the backend server. @public */
export interface StartedMessage {
  readonly kind: 'started'
  readonly reservation: ReservationId
}

/** Asks what became of a forwarded request; one that has not been started is never started afterwards. @public */
export interface RecallMessage {
  readonly kind: 'recall'
  readonly reservation: ReservationId
  readonly replyTo: Address
}

/** Answers `recall`. @public */
export interface RecalledMessage {
  readonly kind: 'recalled'
  readonly reservation: ReservationId
  /** `unknown`: the receiver has restarted since, or has forgotten a result that is too old. */
  readonly fate: 'notStarted' | 'running' | 'done' | 'unknown'
}

/** Asks the keeper of a team's rate for one request. @public */
export interface AskTokenMessage {
  readonly kind: 'askToken'
  readonly grant: GrantId
  readonly node: NodeId
  readonly replyTo: Address
  readonly team: TeamId
}

/** Answers `askToken`. @public */
export interface TokenMessage {
  readonly kind: 'token'
  readonly grant: GrantId
  readonly granted: boolean
  /** When refused: time until a token may be there. */
  readonly waitMs: number
}

/** A backend server crashed while it ran requests of this fingerprint. @public */
export interface CrashMessage {
  readonly kind: 'crash'
  readonly fingerprint: Fingerprint
  readonly endpoint: EndpointId
  readonly startedAt: number
}

/** What nodes tell each other in datagrams. @public */
export type PeerMessage =
  | AskSlotMessage
  | AskTokenMessage
  | HeartbeatMessage
  | CancelMessage
  | CrashMessage
  | HelloMessage
  | RecalledMessage
  | RecallMessage
  | ReleaseMessage
  | SlotMessage
  | StartedMessage
  | TokenMessage
