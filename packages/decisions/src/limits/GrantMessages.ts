import type { DomainId, Millis, NodeId, TeamId } from '@lavenderturn/types'
import type { AssignmentEntry } from '../control/Assignment'

/** Names a grant: at most one exists for each holder, team and domain. @public */
export interface GrantKey {
  readonly team: TeamId
  readonly domain: DomainId
  readonly holder: NodeId
}

/**
 * What a holder keeps of its grant. Each ask and return states it in full and carries a number that rises, so that
 * the owner can drop duplicates and late messages, and a lost message is made good by the next one.
 *
 * @public
 */
export interface GrantStatement extends GrantKey {
  readonly number: number
  /** Epoch of the owner that issued the grant. A grant of an older epoch is not in the books of a newer owner. */
  readonly epoch: number
  /** Share of the sub-limit's rate that the holder keeps. */
  readonly share: number
  /** Share of the sub-limit's burst that the holder keeps. */
  readonly room: number
  /** Tokens that the holder keeps. */
  readonly level: number
  /** Tokens that go back to the owner. */
  readonly returned: number
}

/** Asks the owner for tokens and a share, and renews what the holder keeps. @public */
export interface GrantAsk extends GrantStatement {
  /** The owner's entry as the holder knows it. */
  readonly entryEpoch: number
  readonly entrySequence: number
  /** Tokens that waiting requests lack. */
  readonly waiting: number
  /** Tokens that the holder wants in all, with those for requests that it expects. */
  readonly tokens: number
  /** Whether the owner keeps the ask for a while when it has no tokens. */
  readonly patient: boolean
  /** Tokens a second that the holder needs from this owner. */
  readonly demand: number
}

/** What an owner gives. @public */
export interface GrantOffer extends GrantKey {
  readonly kind: 'granted'
  /** Number of the ask. */
  readonly number: number
  readonly epoch: number
  /** Whether the offer continues the grant that the holder stated. Otherwise what the holder had is void. */
  readonly continued: boolean
  /** Share of the rate, with what the holder kept. */
  readonly share: number
  /** Share of the burst, with what the holder kept. */
  readonly room: number
  /** Tokens added. */
  readonly tokens: number
  /** Rate and burst of the whole sub-limit at the owner. */
  readonly rate: number
  readonly burst: number
  /** How long the grant is good for, counted by the holder from when it sent the ask. */
  readonly lifetime: Millis
  /** The owner lacks burst share, so the holder gives back what it has used up without waiting for expiry. */
  readonly tight: boolean
  /** Share that the holder may keep; it returns the rest once waiting requests are served. */
  readonly keepShare: number
  /** Whether the holder keeps all of it while it renews the grant, needed or not. */
  readonly fixed: boolean
}

/** The node does not own the sub-limit now, is not fresh, or the ask is older than another one. @public */
export interface GrantDenial extends GrantKey {
  readonly kind: 'denied'
  readonly number: number
}

/** @public */
export type GrantReply = GrantOffer | GrantDenial

/** Asks a holder to give back what it does not need now. @public */
export interface GrantRecall extends GrantKey {
  readonly epoch: number
  /** Share of the rate that the holder may keep. */
  readonly keepShare: number
}

/** A grant in a hand-over. @public */
export interface GrantRecord {
  readonly holder: NodeId
  readonly share: number
  readonly room: number
  readonly number: number
  readonly demand: number
  /** Time left until the owner takes the shares back. */
  readonly remaining: Millis
}

/** A sub-limit in a hand-over. @public */
export interface BucketRecord {
  readonly team: TeamId
  readonly rate: number
  readonly burst: number
  readonly share: number
  readonly room: number
  readonly level: number
  readonly grants: readonly GrantRecord[]
}

/** Gives a partition to a successor. Teams without a bucket have a full one. @public */
export interface HandOver {
  readonly from: NodeId
  /** The successor's entry. */
  readonly entry: AssignmentEntry
  /** How long the partition has been open; negative while the wait after a take-over runs. */
  readonly openFor: Millis
  readonly buckets: readonly BucketRecord[]
}

/** `refused` means that nothing was installed; `superseded` that a newer owner has taken over. @public */
export type HandOverResult = 'confirmed' | 'refused' | 'superseded'
