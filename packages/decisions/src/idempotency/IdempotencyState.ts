import type { DomainId, KeyDigest, Millis, NodeId, PartitionId, RequestId, TeamId } from '@lavenderturn/types'
import type { AssignmentEntry } from '../control/Assignment'
import type { ClaimReply, RunReport, SeatView } from './ClaimMessages'
import type { ClaimOutcome } from './settleClaim'

/** What an owner keeps of a claimed key. @public */
export interface ClaimRecord {
  readonly team: TeamId
  readonly digest: KeyDigest
  /** Absent when owners had recorded different claims: such a record cannot be released. */
  readonly claimId?: RequestId
  readonly gateway: NodeId
  /** `released`: the claim's request did not run; the record only stops late copies of the claim. */
  run: RunReport | { readonly kind: 'released' }
  expiresAt: Millis
  /** Rises from record to record, so that copying can go on where it stopped. */
  readonly order: number
}

/** Progress of copying from the owner of another domain. @public */
export interface CopySource {
  readonly entry: AssignmentEntry
  cursor: number
  done: boolean
}

/** The records of a partition that this node owns in a domain. @public */
export interface OwnedRecords {
  readonly entry: AssignmentEntry
  /** Only an open owner records claims. A frozen one gives its records to a successor. */
  status: 'copying' | 'open' | 'frozen'
  /** When nothing unknown can be left, because everything older has expired. */
  readonly opensAt: Millis
  /** The owner that handed over, while its records can still be had. */
  predecessor?: NodeId
  /** Asks of the predecessor without an answer. */
  predecessorFailures: number
  readonly sources: Map<DomainId, CopySource>
  /** The newest seats that copying told of. */
  readonly fences: Map<DomainId, SeatView>
  /** By team and digest. */
  readonly records: Map<string, ClaimRecord>
}

/** A claim that this gateway makes. @public */
export interface PendingClaim {
  readonly requestId: RequestId
  readonly team: TeamId
  readonly digest: KeyDigest
  readonly partition: PartitionId
  /** The seats among which the majority is sought; a vote counts only for the seat listed here. */
  readonly seats: Map<DomainId, SeatView>
  readonly votes: Map<DomainId, ClaimReply['result']>
  /** Domains whose owner may have recorded the claim. */
  readonly sent: Set<DomainId>
  /** A majority has recorded the claim, so the request may run. */
  granted: boolean
}

/** A settlement that owners have not confirmed yet. @public */
export interface PendingSettlement {
  readonly claim: PendingClaim
  readonly outcome: ClaimOutcome
  readonly left: Set<DomainId>
  tries: number
}

/** @public */
export interface IdempotencyState {
  /** By `assignmentKey`. */
  readonly owned: Map<string, OwnedRecords>
  recordCount: number
  lastOrder: number
  readonly claims: Map<RequestId, PendingClaim>
  readonly settlements: Map<RequestId, PendingSettlement>
  leaving: boolean
  sweeping: boolean
}

/**
 * @returns the empty state
 * @internal
 */
export function createIdempotencyState (): IdempotencyState {
  return {
    owned: new Map(),
    recordCount: 0,
    lastOrder: 0,
    claims: new Map(),
    settlements: new Map(),
    leaving: false,
    sweeping: false
  }
}
