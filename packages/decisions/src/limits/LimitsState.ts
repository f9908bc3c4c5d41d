import type { CallId, DomainId, Millis, NodeId, PartitionId, RequestId, TeamId } from '@lavenderturn/types'
import type { AssignmentEntry } from '../control/Assignment'
import type { GrantAsk } from './GrantMessages'

/** What the owner knows of one grant. @public */
export interface OwnerGrant {
  share: number
  room: number
  /** By the owner's clock; later than the holder's expiry. */
  expiresAt: Millis
  /** Number of the holder's latest message. */
  number: number
  /** Tokens a second that the holder asked for. */
  demand: number
  /** When the holder last lacked tokens; such a holder has none to give back. */
  starvedAt: Millis
  recalledAt: Millis
}

/** The owner's part of a sub-limit. With the parts of holders it never exceeds the whole. @public */
export interface Bucket {
  readonly team: TeamId
  /** Rate and burst with which the bucket was last filled, in tokens a second and tokens. */
  rate: number
  burst: number
  /** Share of the rate that fills this bucket. */
  share: number
  /** Share of the burst up to which this bucket fills. */
  room: number
  level: number
  filledAt: Millis
  readonly grants: Map<NodeId, OwnerGrant>
  /** Asks that wait for tokens, in order of arrival. */
  readonly held: HeldAsk[]
}

/** An ask that the owner answers once it has tokens, or when the time is up. @public */
export interface HeldAsk {
  readonly ask: GrantAsk
  /** Absent when the asker is the owner itself. */
  readonly callId?: CallId
  readonly until: Millis
}

/** A partition that this node owns in a domain. @public */
export interface OwnedPartition {
  readonly entry: AssignmentEntry
  /** Nothing is granted before: older grants may be in use until then. */
  readonly openAt: Millis
  /** Sub-limits that differ from a full bucket. */
  readonly buckets: Map<TeamId, Bucket>
  /** Set while the partition is given away; nothing is granted from then on. */
  handOver?: PendingHandOver
}

/** @public */
export interface PendingHandOver {
  readonly entry: AssignmentEntry
  /** Nodes that refused. */
  readonly refused: Set<NodeId>
  readonly startedAt: Millis
}

/** A grant as its holder sees it. @public */
export interface HeldGrant {
  epoch: number
  share: number
  room: number
  /** Rate and burst of the whole sub-limit as the owner stated them. */
  rate: number
  burst: number
  level: number
  filledAt: Millis
  /** By the holder's clock. */
  expiresAt: Millis
  renewAt: Millis
  tight: boolean
  /** Whether all of it is kept while the grant is renewed. */
  fixed: boolean
  /** Share that the owner lets the holder keep. */
  keepShare: number
}

/** An ask without an answer yet. @public */
export interface OutstandingAsk {
  readonly number: number
  readonly node: NodeId
  readonly sentAt: Millis
  /** Tokens that requests lacked. */
  readonly waiting: number
}

/** @public */
export interface WaitingCharge {
  readonly requestId: RequestId
  readonly since: Millis
}

/** What a gateway holds of one team's rate. Exists only while the team is active here. @public */
export interface TeamHolding {
  readonly team: TeamId
  readonly partition: PartitionId
  readonly grants: Map<DomainId, HeldGrant>
  readonly asks: Map<DomainId, OutstandingAsk>
  /** In order of arrival. */
  readonly waiting: WaitingCharge[]
  /** Domains asked in the present round. */
  readonly asked: Set<DomainId>
  /** Rounds in a row that did not bring enough. */
  failedRounds: number
  nextRoundAt: Millis
  /** Arrivals, with older ones fading out. */
  arrivals: number
  arrivedAt: Millis
  /** When an owner last answered. */
  answeredAt: Millis
}

/** Parts of the slice that one step changed, for the invariants. @public */
export interface LimitsTouched {
  readonly buckets: Set<Bucket>
  /** Grants that a token was taken from. */
  readonly spends: HeldGrant[]
}

/** @public */
export interface LimitsState {
  /** By `assignmentKey`. */
  readonly owned: Map<string, OwnedPartition>
  readonly holdings: Map<TeamId, TeamHolding>
  /** When an owner last failed to answer; others are asked first for a while. */
  readonly silentSince: Map<NodeId, Millis>
  /** Number of the latest ask or return. */
  lastNumber: number
  readonly division: DomainDivision
  /** Whether the timer of the sweep runs. */
  sweeping: boolean
  /** The latest offers of partitions that this node refused, by `assignmentKey`; a late copy is refused too. */
  readonly refusedOffers: Map<string, AssignmentEntry>
  /** Whether this node is giving its partitions away. */
  leaving: boolean
  readonly touched: LimitsTouched
}

/** Number of domains over which rates are divided, with the earlier one while it can still be in use. @public */
export interface DomainDivision {
  count: number
  earlier: number
  changedAt: Millis
}

/**
 * @returns the empty state
 * @internal
 */
export function createLimitsState (): LimitsState {
  return {
    owned: new Map(),
    holdings: new Map(),
    silentSince: new Map(),
    lastNumber: 0,
    division: { count: 0, earlier: 0, changedAt: 0 as Millis },
    sweeping: false,
    refusedOffers: new Map(),
    leaving: false,
    touched: { buckets: new Set(), spends: [] }
  }
}
