import type { DomainId, KeyDigest, Millis, NodeId, PartitionId, RequestId, TeamId } from '@lavenderturn/types'
import type { ClaimOutcome } from './settleClaim'

/** Which owner of a domain a node knows of. @public */
export interface SeatView {
  readonly domain: DomainId
  readonly epoch: number
  readonly sequence: number
}

/** Names one claim. The id of the request makes a repeated message recognisable. @public */
export interface ClaimKey {
  readonly team: TeamId
  readonly digest: KeyDigest
  readonly claimId: RequestId
  readonly gateway: NodeId
}

/** Asks the owner of one domain to record a claim. @public */
export interface ClaimAsk extends ClaimKey {
  readonly domain: DomainId
  /** The owners among which the gateway seeks a majority. */
  readonly seats: readonly SeatView[]
}

/** What an owner knows of the first run. @public */
export type RunReport =
  | { readonly kind: 'pending' }
  | { readonly kind: 'answered', readonly status: number }
  | { readonly kind: 'unknown' }

/** @public */
export interface ClaimReply {
  readonly claimId: RequestId
  readonly domain: DomainId
  readonly result: 'recorded' | 'exists' | 'cannotTell' | 'full'
  /** The owner's seat; absent when the node owns none there. */
  readonly seat?: SeatView
  /** With `exists`. */
  readonly run?: RunReport
}

/** Tells an owner how a claim ended. @public */
export interface ClaimSettlement extends ClaimKey {
  readonly domain: DomainId
  readonly outcome: ClaimOutcome
}

/** Asks an owner for its records of a partition, page by page. @public */
export interface CopyAsk {
  readonly partition: PartitionId
  /** Domain of the owner that is asked. */
  readonly source: DomainId
  /** The asking owner's own seat; the other owner refuses claims that still count on an older one. */
  readonly seat: SeatView
  /** `order` of the last record received; 0 at first. */
  readonly cursor: number
}

/** A record on its way to another owner. @public */
export interface RecordCopy extends ClaimKey {
  readonly run: RunReport
  /** Time left of its retention. */
  readonly remaining: Millis
}

/** @public */
export type CopyReply =
  | { readonly kind: 'refused' }
  | {
    readonly kind: 'page',
    readonly records: readonly RecordCopy[],
    readonly cursor: number,
    /** Whether all records had been received before this page, which is empty then. */
    readonly done: boolean,
    /** The newest seats that the other owner knows of, its own among them. */
    readonly seats: readonly SeatView[]
  }
