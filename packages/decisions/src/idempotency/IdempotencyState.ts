import type { DomainId, KeyDigest, Millis, NodeId, PartitionId, RequestId, TeamId } from '@lavenderturn/types'
import type { AssignmentEntry } from '../control/Assignment'
import type { ClaimReply, RunReport, SeatView } from './ClaimMessages'
import type { ClaimOutcome } from './settleClaim'

/** An owner's record of a claimed key. @public */
export interface ClaimRecord {
  readonly team: TeamId
  readonly digest: KeyDigest
  /** Absent when owners have recorded different claims; such a record cannot be released. */
  readonly claimId?: RequestId
  readonly gateway: NodeId
  /** `released`: the request did not run, and the record only blocks delayed messages of its claim. */
  run: RunReport | { readonly kind: 'released' }
  expiresAt: Millis
  /** Increases with each write of a record, so that a copy can continue where it stopped. */
  readonly ordinal: number
}

/** Progress of copying records from one owner: one in another domain, or the predecessor. @public */
export interface CopySource {
  readonly entry: AssignmentEntry
  cursor: number
  done: boolean
}

/** The records of a partition that this node owns in a domain. @public */
export interface OwnedRecords {
  readonly entry: AssignmentEntry
  /** An owner records claims only while `open`. A `frozen` one only provides its records to its successor. */
  status: 'copying' | 'open' | 'frozen'
  /** When the owner opens even without a complete copy, because all records that it can lack have expired. */
  readonly opensAt: Millis
  /** The owner that handed over, as long as its records are requested from it. */
  predecessor?: NodeId
  /** Requests to the predecessor without an answer. */
  predecessorFailures: number
  readonly sources: Map<DomainId, CopySource>
  /** By domain, the newest seats learned through copying. Claims that list an older seat are refused. */
  readonly fences: Map<DomainId, SeatView>
  /** By team and digest, in ascending order of `ordinal`. */
  readonly records: Map<string, ClaimRecord>
}

/** A claim that this gateway has sent and not settled. @public */
export interface PendingClaim {
  readonly requestId: RequestId
  readonly team: TeamId
  readonly digest: KeyDigest
  readonly partition: PartitionId
  /** The seats from which a majority is needed; a vote counts only if it comes from the seat listed here. */
  readonly seats: Map<DomainId, SeatView>
  readonly votes: Map<DomainId, ClaimReply['result']>
  /** Domains whose owner may have recorded the claim. */
  readonly sent: Set<DomainId>
  /** Whether a majority has recorded the claim, so that the request may run. */
  granted: boolean
}

/** A settlement that not all owners have confirmed. @public */
export interface PendingSettlement {
  readonly claim: PendingClaim
  readonly outcome: ClaimOutcome
  /** Domains whose owner has not confirmed the settlement. */
  readonly left: Set<DomainId>
  attempts: number
}

/** @public */
export interface IdempotencyState {
  /** The partitions that this node owns, by `assignmentKey`. */
  readonly ownedRecords: Map<string, OwnedRecords>
  recordCount: number
  lastOrdinal: number
  readonly claims: Map<RequestId, PendingClaim>
  readonly settlements: Map<RequestId, PendingSettlement>
  /** Whether the node is stopping and its records are being handed over. */
  leaving: boolean
  sweepScheduled: boolean
}

/**
 * @returns the empty state
 * @internal
 */
export function createIdempotencyState (): IdempotencyState {
  return {
    ownedRecords: new Map(),
    recordCount: 0,
    lastOrdinal: 0,
    claims: new Map(),
    settlements: new Map(),
    leaving: false,
    sweepScheduled: false
  }
}
