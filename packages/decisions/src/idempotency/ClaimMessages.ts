import type { DomainId, KeyDigest, Millis, NodeId, PartitionId, RequestId, TeamId } from '@lavenderturn/types'
import type { ClaimOutcome } from './settleClaim'

/**
 * A seat: one term of ownership of a partition in a domain. A newer owner has a higher epoch, or the same epoch and a
 * higher sequence.
 *
 * @public
 */
export interface SeatView {
  readonly domain: DomainId
  readonly epoch: number
  readonly sequence: number
}

/** Identifies one claim. Owners recognise repeated messages of a claim by the id of its request. @public */
export interface ClaimKey {
  readonly team: TeamId
  readonly digest: KeyDigest
  readonly claimId: RequestId
  readonly gateway: NodeId
}

/** Requests that the owner in one domain records a claim. @public */
export interface KeyClaimRequest extends ClaimKey {
  readonly domain: DomainId
  /** The seats of the owners from which the gateway needs a majority. */
  readonly seats: readonly SeatView[]
}

/** What an owner knows about the first request that ran with a key. @public */
export type RunReport =
  | { readonly kind: 'pending' }
  | { readonly kind: 'answered', readonly status: number }
  | { readonly kind: 'unknown' }

/** An owner's answer to a claim. @public */
export interface ClaimReply {
  readonly claimId: RequestId
  readonly domain: DomainId
  readonly result: 'recorded' | 'exists' | 'cannotTell' | 'full'
  /** The owner's seat; absent when the node does not own the partition in the domain. */
  readonly seat?: SeatView
  /** State of the run that has the key, for the result `exists`. */
  readonly run?: RunReport
}

/** Reports to an owner how a claimed request ended. @public */
export interface ClaimSettlement extends ClaimKey {
  readonly domain: DomainId
  readonly outcome: ClaimOutcome
}

/** Requests one page of an owner's records of a partition. @public */
export interface CopyRecordsRequest {
  readonly partition: PartitionId
  /** Domain of the owner that provides the records. */
  readonly source: DomainId
  /** Seat of the owner that copies. The other owner then refuses claims that list an older seat of its domain. */
  readonly seat: SeatView
  /** `ordinal` of the last record received; 0 for the first page. */
  readonly cursor: number
}

/** A record as it is copied to another owner. @public */
export interface RecordCopy extends ClaimKey {
  readonly run: RunReport
  /** Remaining retention time. */
  readonly remaining: Millis
}

/** An owner's answer to a request for records. @public */
export type CopyReply =
  | { readonly kind: 'refused' }
  | {
    readonly kind: 'page',
    readonly records: readonly RecordCopy[],
    readonly cursor: number,
    /** Whether all records were received with earlier pages; this page is then empty. */
    readonly done: boolean,
    /** The newest seats that the other owner knows, including its own. */
    readonly seats: readonly SeatView[]
  }
