import type { ControlDocument, Declaration } from '@lavenderturn/declaration'
import {
  type CallId, type DataCentreId, type FetchId, type Millis, millis, type NodeId, type Revision, toId, type WriterToken
} from '@lavenderturn/types'
import type { Assignment } from './Assignment'
import type { ControlDelta, ControlSnapshot, HeadRow, WriteIntent } from './HeadRow'

/** Proof that a majority of a data centre's pollers had no newer revision and no open intent. @public */
export interface Heartbeat {
  /** A time at which the proof held; never later than the truth. */
  readonly at: Millis
  readonly revision: Revision
  /** Members of the data centre, as its pollers count them. */
  readonly members: number
}

/** A fetch of a delta or snapshot that is under way. @public */
export interface RevisionFetch {
  readonly id: FetchId
  /** When the fetch is given up and another source is asked. */
  readonly deadline: Millis
  /** The peer that was asked; absent: the object store. */
  readonly peer?: NodeId
}

/** An intent of a writer, with the time at which it was heard of. @public */
export interface OpenIntent extends WriteIntent {
  readonly receivedAt: Millis
}

/** What a write of the head row is to change. @public */
export type ControlChange =
  | {
    readonly kind: 'declaration'
    readonly callId: CallId
    readonly base: Revision
    readonly declaration: Declaration
  }
  | { readonly kind: 'assignment' }

/**
 * Phases of a write: read the head, get to its revision, store the objects, announce the intent to the pollers of a
 * majority, compare-and-set, and, when the response was lost, find out by reading the head. @public
 */
export type WritePhase = 'reading' | 'catchingUp' | 'storing' | 'preparing' | 'writing' | 'inDoubt'

/** One attempt to change the head row. @public */
export interface ControlWrite {
  readonly token: WriterToken
  readonly change: ControlChange
  readonly startedAt: Millis
  /** Attempts before this one that lost against a change of the assignment. */
  readonly retries: number
  phase: WritePhase
  phaseAt: Millis
  base?: HeadRow
  delta?: ControlDelta
  snapshot?: ControlSnapshot
  nextHead?: HeadRow
  /** Pollers that have recorded the intent. */
  readonly acks: Set<NodeId>
  /** Compare-and-sets sent so far; all with the same content. */
  sends: number
  /** Whether the operator has been told that acceptance is unknown. */
  answered: boolean
}

/** What became of a write. @public */
export type WriteOutcome = 'accepted' | 'withdrawn'

/** @public */
export interface ControlState {
  /** Undefined until the first document is known; team traffic is refused until then. */
  document: ControlDocument | undefined
  /** The revision in force here; 0 before the first. A change of the assignment raises it but not the document's. */
  revision: Revision
  /** The highest revision that this node has heard of. */
  highestHeard: Revision
  /** Newest head row that this node read itself. */
  head: HeadRow | undefined
  /** Owners of partitions, with hand-overs that the head row does not show yet. */
  readonly assignment: Assignment
  /** Keys of the entries of `assignment` that the head row does not show yet. */
  readonly unrecordedHandOvers: Set<string>
  readonly startedAt: Millis
  /** The latest time at which the head is known to have shown no revision above `highestHeard`. */
  headReadAt: Millis
  /** When the revision in force was last known to be the latest, from before a later one was heard of. */
  heldProofAt: Millis
  /** The latest time for which heartbeats of data centres that hold a majority of the members are known. */
  majorityAt: Millis
  readonly heartbeats: Map<DataCentreId, Heartbeat>
  /** When pollers without open intents were last asked with success. */
  readonly pollerConfirmedAt: Map<NodeId, Millis>
  /** When nodes of a data centre last answered a call. */
  readonly lastReplyAt: Map<DataCentreId, Millis>
  /** Members of each data centre that count towards the majority. */
  readonly memberCounts: Map<DataCentreId, number>
  /** Pollers of each data centre. */
  readonly pollers: Map<DataCentreId, NodeId[]>
  /** Rank of each member among the candidates of its data centre. */
  readonly pollerRanks: Map<NodeId, number>
  /** When the latest read of the head was started. */
  lastHeadReadStartedAt: Millis
  /** When this poller last asked all others. */
  lastPollerQueryAt: Millis
  /** Deltas that led to the present revision, for peers that ask. */
  readonly deltas: Map<Revision, ControlDelta>
  fetch: RevisionFetch | undefined
  /** Peers that know the highest revision heard of. */
  readonly revisionSources: Set<NodeId>
  readonly intents: Map<WriterToken, OpenIntent>
  readonly writes: Map<WriterToken, ControlWrite>
  readonly outcomes: Map<WriterToken, WriteOutcome>
  /** Number of the next write or fetch. */
  nextId: number
}

/** A time before every event. */
export const NEVER = millis(-Infinity)

/**
 * @param options - `now`: start time
 * @returns the state of a node that knows no document and has no proof of freshness
 * @internal
 */
export function createControlState ({ now }: { readonly now: Millis }): ControlState {
  return {
    document: undefined,
    revision: toId(0),
    highestHeard: toId(0),
    head: undefined,
    assignment: new Map(),
    unrecordedHandOvers: new Set(),
    startedAt: now,
    headReadAt: NEVER,
    heldProofAt: NEVER,
    majorityAt: NEVER,
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
