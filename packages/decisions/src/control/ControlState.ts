import type { ControlDocument, Declaration } from '@lavenderturn/declaration'
import {
  type CallId, type DataCentreId, type FetchId, type Millis, millis, type NodeId, type Revision, toId, type WriterToken
} from '@lavenderturn/types'
import type { Assignment } from './Assignment'
import type { ControlDelta, ControlSnapshot, HeadRow, WriteIntent } from './HeadRow'

/** Proof that a majority of a data centre's pollers knew of no newer revision and had no open intent. @public */
export interface Heartbeat {
  /** A time at which the proof held; a lower bound of the latest such time. */
  readonly at: Millis
  readonly revision: Revision
  /** Number of members of the data centre, as counted by its pollers. */
  readonly members: number
}

/** A fetch of deltas or of a snapshot that is in progress. @public */
export interface RevisionFetch {
  readonly id: FetchId
  /** When the fetch times out and another source is tried. */
  readonly deadline: Millis
  /** The peer that is asked; absent if the object store is read. */
  readonly peer?: NodeId
}

/** A writer's intent whose outcome is unknown, with the time at which it was received. @public */
export interface OpenIntent extends WriteIntent {
  readonly receivedAt: Millis
}

/** The change that a write of the head row makes. @public */
export type ControlChange =
  | {
    readonly kind: 'declaration'
    readonly callId: CallId
    readonly base: Revision
    readonly declaration: Declaration
  }
  | { readonly kind: 'assignment' }

/**
 * Phases of a write: read the head, catch up to its revision, store the snapshot and the delta, announce the intent to
 * the pollers of a majority, compare-and-set the head row, and, if the result was lost, determine it by reading the
 * head. @public
 */
export type WritePhase = 'reading' | 'catchingUp' | 'storing' | 'preparing' | 'writing' | 'inDoubt'

/** One attempt to change the head row. @public */
export interface ControlWrite {
  readonly token: WriterToken
  readonly change: ControlChange
  readonly startedAt: Millis
  /** Number of earlier attempts at this change that lost to a change of the assignment. */
  readonly retries: number
  phase: WritePhase
  phaseStartedAt: Millis
  base?: HeadRow
  delta?: ControlDelta
  snapshot?: ControlSnapshot
  nextHead?: HeadRow
  /** Nodes that have recorded the intent. */
  readonly acks: Set<NodeId>
  /** Number of compare-and-sets sent so far, all with the same content. */
  sendCount: number
  /** Whether the operator has been told that acceptance is unknown. */
  answered: boolean
}

/** Final outcome of a write. @public */
export type WriteOutcome = 'accepted' | 'withdrawn'

/** @public */
export interface ControlState {
  /** Undefined until the first document is in force; team traffic is refused until then. */
  document: ControlDocument | undefined
  /** The revision in force; 0 before the first. A change of the assignment raises it, but not `document.revision`. */
  revision: Revision
  /** The highest revision known to exist, whether or not this node holds it. */
  highestKnownRevision: Revision
  /** The newest head row that this node has read or written. */
  head: HeadRow | undefined
  /** Owners of partitions, including hand-overs that are not recorded in the head row yet. */
  readonly assignment: Assignment
  /** Keys of the entries of `assignment` that are not recorded in the head row yet. */
  readonly unrecordedHandOvers: Set<string>
  readonly startedAt: Millis
  /** The latest time at which the head is known to have shown no revision above the highest known one. */
  headReadAt: Millis
  /** When the revision in force was last proven to be the latest, recorded when a later one became known. */
  lastConfirmedAt: Millis
  /** The latest time for which data centres that hold a majority of the members have sent heartbeats. */
  majorityProofAt: Millis
  /** Newest heartbeat of each data centre. */
  readonly heartbeats: Map<DataCentreId, Heartbeat>
  /** For each poller, the time of the newest question that it answered without an open intent. */
  readonly pollerConfirmedAt: Map<NodeId, Millis>
  /** When a node of each data centre last answered a call of this node. */
  readonly lastReplyAt: Map<DataCentreId, Millis>
  /** Number of members of each data centre that count towards the majority. */
  readonly memberCounts: Map<DataCentreId, number>
  /** Pollers of each data centre. */
  readonly pollers: Map<DataCentreId, NodeId[]>
  /** Rank of each live member in the choice of its data centre's pollers; a cache. */
  readonly pollerRanks: Map<NodeId, number>
  /** When this node last started to read the head. */
  lastHeadReadStartedAt: Millis
  /** When this node, as a poller, last queried the pollers of all data centres. */
  lastPollerQueryAt: Millis
  /** The latest deltas up to the revision in force, for peers that fetch them. */
  readonly deltas: Map<Revision, ControlDelta>
  /** The fetch in progress, if any. */
  fetch: RevisionFetch | undefined
  /** Peers that reported the highest known revision, from which it can be fetched. */
  readonly revisionSources: Set<NodeId>
  /** Intents whose outcome is unknown, of this node and of others. */
  readonly intents: Map<WriterToken, OpenIntent>
  /** Writes of this node that are in progress. */
  readonly writes: Map<WriterToken, ControlWrite>
  /** Outcomes of the latest writes of this node, for pollers that ask. */
  readonly outcomes: Map<WriterToken, WriteOutcome>
  /** Sequence number of the next write or fetch. */
  nextId: number
}

/** A time before all events, for things that have not happened yet. */
export const NEVER = millis(-Infinity)

/**
 * Creates the state of a node that has no document and no proof of freshness.
 *
 * @param options - `now`: start time
 * @returns the slice's initial state
 * @internal
 */
export function createControlState ({ now }: { readonly now: Millis }): ControlState {
  return {
    document: undefined,
    revision: toId(0),
    highestKnownRevision: toId(0),
    head: undefined,
    assignment: new Map(),
    unrecordedHandOvers: new Set(),
    startedAt: now,
    headReadAt: NEVER,
    lastConfirmedAt: NEVER,
    majorityProofAt: NEVER,
    heartbeats: new Map(),
    pollerConfirmedAt: new Map(),
    lastReplyAt: new Map(),
    memberCounts: new Map(),
    pollers: new Map(),
    pollerRanks: new Map(),
    lastHeadReadStartedAt: NEVER,
    lastPollerQueryAt: NEVER,
    deltas: new Map(),
    fetch: undefined,
    revisionSources: new Set(),
    intents: new Map(),
    writes: new Map(),
    outcomes: new Map(),
    nextId: 0
  }
}
