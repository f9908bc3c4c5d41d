import type { CallId, DomainId, Millis, NodeId, PartitionId, RequestId, TeamId } from '@lavenderturn/types'
import type { AssignmentEntry } from '../control/Assignment'
import type { GrantRequest } from './GrantMessages'

/** The owner's record of a grant that it issued. @public */
export interface IssuedGrant {
  /** Share of the domain limit's rate. */
  share: number
  /** Share of the domain limit's burst. */
  room: number
  /** By the owner's clock; later than the holder's expiry. */
  expiresAt: Millis
  /** Number of the holder's latest message. */
  number: number
  /** Requested rate in tokens per second. */
  demand: number
  /** When a grant last covered fewer tokens than the holder's waiting requests needed; such a holder has none spare. */
  lastShortageAt: Millis
  recalledAt: Millis
}

/**
 * The token bucket that an owner keeps for a team's limit in one domain. Its shares and those of all grants add up to
 * the whole domain limit.
 *
 * @public
 */
export interface Bucket {
  readonly team: TeamId
  /** Rate and burst of the domain limit at the last refill, in tokens per second and tokens. */
  rate: number
  burst: number
  /** Share of the rate that refills this bucket. */
  share: number
  /** Share of the burst that caps this bucket. */
  room: number
  /** Tokens available. */
  level: number
  refilledAt: Millis
  readonly grants: Map<NodeId, IssuedGrant>
  /** Grant requests that wait for tokens, in order of arrival. */
  readonly pending: PendingGrantRequest[]
}

/** A grant request that the owner answers once it has tokens, or at the deadline. @public */
export interface PendingGrantRequest {
  readonly ask: GrantRequest
  /** Absent when the owner itself sent the request. */
  readonly callId?: CallId
  readonly deadline: Millis
}

/** A partition that this node owns in a domain. @public */
export interface OwnedPartition {
  readonly entry: AssignmentEntry
  /** The owner issues no grants before this time, because grants of the previous owner may still be in use. */
  readonly opensAt: Millis
  /** Teams without an entry have used nothing since their bucket was full, or since the partition opened. */
  readonly buckets: Map<TeamId, Bucket>
  /** Set once a handover has started; the owner issues no grants from then on. */
  handOver?: PendingHandOver
}

/** A handover that the successor has not confirmed. @public */
export interface PendingHandOver {
  /** The entry that makes the successor the owner. */
  readonly entry: AssignmentEntry
  /** Nodes that refused the partition. */
  readonly refused: Set<NodeId>
  readonly startedAt: Millis
}

/** The holder's record of a grant. @public */
export interface HeldGrant {
  /** Epoch of the owner that issued the grant. */
  epoch: number
  /** Share of the domain limit's rate. */
  share: number
  /** Share of the domain limit's burst. */
  room: number
  /** Rate and burst of the whole domain limit, as stated by the owner. */
  rate: number
  burst: number
  /** Tokens available. */
  level: number
  refilledAt: Millis
  /** By the holder's clock. */
  expiresAt: Millis
  renewAt: Millis
  /** Whether the owner is short of burst share; used-up burst share is then returned without waiting for expiry. */
  tight: boolean
  /** Whether the holder keeps the whole grant at each renewal, needed or not. */
  fixed: boolean
  /** Share of the rate that the holder may keep; it returns the rest once its waiting requests are served. */
  keepShare: number
}

/** A grant request that has not been answered. @public */
export interface OutstandingGrantRequest {
  readonly number: number
  readonly node: NodeId
  readonly sentAt: Millis
  /** Tokens that waiting requests lacked when it was sent. */
  readonly waiting: number
}

/** A request that waits for a token. @public */
export interface WaitingRequest {
  readonly requestId: RequestId
  readonly since: Millis
}

/** A gateway's rate limiter for one team. Exists only while the team is active at this node. @public */
export interface TeamLimiter {
  readonly team: TeamId
  readonly partition: PartitionId
  readonly grants: Map<DomainId, HeldGrant>
  /** The latest grant request to each domain, until it is answered. */
  readonly outstanding: Map<DomainId, OutstandingGrantRequest>
  /** Requests that wait for a token, in order of arrival. */
  readonly waiting: WaitingRequest[]
  /** Domains that were sent a grant request in the current round. */
  readonly asked: Set<DomainId>
  /** Consecutive rounds that did not yield enough tokens. */
  failedRounds: number
  nextRoundAt: Millis
  /** Number of arrivals, decayed exponentially with their age. */
  decayedArrivals: number
  lastArrivalAt: Millis
  /** When an owner last issued a grant. */
  lastGrantAt: Millis
}

/** Buckets and grants that one step changed; the invariants check these and clear the lists. @public */
export interface TouchedLimits {
  readonly buckets: Set<Bucket>
  /** Grants that a token was taken from. */
  readonly spends: HeldGrant[]
}

/** @public */
export interface LimitsState {
  /** By `assignmentKey`. */
  readonly owned: Map<string, OwnedPartition>
  readonly limiters: Map<TeamId, TeamLimiter>
  /** When each unresponsive owner last failed to answer; for a while it is asked together with the others. */
  readonly unresponsiveSince: Map<NodeId, Millis>
  /** Number of the latest grant request or return. */
  lastMessageNumber: number
  readonly domainCount: DomainCount
  /** Whether the timer for removing idle buckets is set. */
  sweepScheduled: boolean
  /** The latest refused handover of each partition, by `assignmentKey`; a delayed duplicate is refused too. */
  readonly refusedOffers: Map<string, AssignmentEntry>
  /** Whether this node is handing over its partitions. */
  leaving: boolean
  readonly touched: TouchedLimits
}

/** Number of domains among which rates are divided. @public */
export interface DomainCount {
  count: number
  /** The largest number before `changedAt` that owners may still use for a while after the change. */
  previous: number
  changedAt: Millis
}

/**
 * @returns the empty state
 * @internal
 */
export function createLimitsState (): LimitsState {
  return {
    owned: new Map(),
    limiters: new Map(),
    unresponsiveSince: new Map(),
    lastMessageNumber: 0,
    domainCount: { count: 0, previous: 0, changedAt: 0 as Millis },
    sweepScheduled: false,
    refusedOffers: new Map(),
    leaving: false,
    touched: { buckets: new Set(), spends: [] }
  }
}
