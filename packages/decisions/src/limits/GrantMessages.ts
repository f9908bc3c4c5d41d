import type { DomainId, Millis, NodeId, TeamId } from '@lavenderturn/types'
import type { AssignmentEntry } from '../control/Assignment'

/** Identifies a grant; a holder has at most one for each team and domain. @public */
export interface GrantKey {
  readonly team: TeamId
  readonly domain: DomainId
  readonly holder: NodeId
}

/**
 * What a holder keeps of its grant and what it returns. Each grant request and return states what is kept in full and
 * carries an increasing number, so that the owner can drop duplicate and late messages, and the next message makes up
 * for a lost one.
 *
 * @public
 */
export interface GrantStatement extends GrantKey {
  readonly number: number
  /** Epoch of the owner that issued the grant. A newer owner has no record of grants of an older epoch. */
  readonly epoch: number
  /** Share of the domain limit's rate that the holder keeps. */
  readonly share: number
  /** Share of the domain limit's burst that the holder keeps. */
  readonly room: number
  /** Tokens that the holder keeps. */
  readonly level: number
  /** Tokens returned to the owner. */
  readonly returned: number
}

/** Requests tokens and a share of the rate from the owner, and renews what the holder keeps. @public */
export interface GrantRequest extends GrantStatement {
  /** Epoch and sequence of the owner's assignment entry, as the holder knows it. */
  readonly entryEpoch: number
  readonly entrySequence: number
  /** Tokens that the waiting requests lack. */
  readonly waiting: number
  /** Total tokens that the holder wants: for waiting requests and for those it expects soon. */
  readonly tokens: number
  /** Whether the owner queues the request for a while when it lacks tokens, instead of answering at once. */
  readonly patient: boolean
  /** Tokens per second that the holder needs from this owner. */
  readonly demand: number
}

/** A grant issued by an owner. @public */
export interface GrantOffer extends GrantKey {
  readonly kind: 'granted'
  /** Number of the grant request. */
  readonly number: number
  readonly epoch: number
  /** Whether this continues the grant that the holder stated. Otherwise the holder's previous grant is void. */
  readonly continued: boolean
  /** Share of the rate, including what the holder kept. */
  readonly share: number
  /** Share of the burst, including what the holder kept. */
  readonly room: number
  /** Tokens added to what the holder kept. */
  readonly tokens: number
  /** Rate and burst of the whole domain limit at the owner. */
  readonly rate: number
  readonly burst: number
  /** How long the grant is valid, measured by the holder from when it sent the grant request. */
  readonly lifetime: Millis
  /** The owner is short of burst share, so the holder returns used-up burst share without waiting for expiry. */
  readonly tight: boolean
  /** Share of the rate that the holder may keep; it returns the rest once its waiting requests are served. */
  readonly keepShare: number
  /** Whether the holder keeps the whole grant at each renewal, needed or not. */
  readonly fixed: boolean
}

/**
 * Denies a grant request: the node does not own the partition now or is not fresh, or the request is out of date.
 *
 * @public
 */
export interface GrantDenial extends GrantKey {
  readonly kind: 'denied'
  readonly number: number
}

/** @public */
export type GrantReply = GrantOffer | GrantDenial

/** Asks a holder to return what it does not need now. @public */
export interface GrantRecall extends GrantKey {
  readonly epoch: number
  /** Share of the rate that the holder may keep. */
  readonly keepShare: number
}

/** A grant in a handover. @public */
export interface GrantRecord {
  readonly holder: NodeId
  /** Share of the domain limit's rate. */
  readonly share: number
  /** Share of the domain limit's burst. */
  readonly room: number
  readonly number: number
  readonly demand: number
  /** Time left until the owner reclaims the shares. */
  readonly remaining: Millis
}

/** A bucket in a handover. @public */
export interface BucketRecord {
  readonly team: TeamId
  readonly rate: number
  readonly burst: number
  /** Share of the rate that refills the bucket. */
  readonly share: number
  /** Share of the burst that caps the bucket. */
  readonly room: number
  readonly level: number
  readonly grants: readonly GrantRecord[]
}

/** Hands over a partition to a successor. Teams without a bucket have a full one. @public */
export interface HandOver {
  readonly from: NodeId
  /** The successor's entry. */
  readonly entry: AssignmentEntry
  /** How long the owner has been able to issue grants; negative until `TAKEOVER_DELAY` has passed. */
  readonly openFor: Millis
  readonly buckets: readonly BucketRecord[]
}

/** `refused`: nothing was installed. `superseded`: a newer owner has taken over. @public */
export type HandOverResult = 'confirmed' | 'refused' | 'superseded'
