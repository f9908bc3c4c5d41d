import { addMillis, type FetchId, type Millis, millis, type NodeId, toId } from '@lavenderturn/types'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { DeltasFetched, FetchFailed, SnapshotFetched } from './ControlEvent'
import { adoptDeltas, adoptSnapshot } from './adoptRevision'
import { findPeer } from './pollers'

/** A fetch of deltas without an answer is given up after this time and another source is asked. */
const DELTA_TIMEOUT = millis(500)

/** A whole control document of 220,000 teams is some 20 MB. */
const SNAPSHOT_TIMEOUT = millis(5_000)

/**
 * Starts to fetch the highest revision heard of, unless it is in force or a fetch is under way.
 *
 * @param state - the node's state
 * @returns the fetch
 * @internal
 */
export function startFetch (state: NodeState): NodeEffect[] {
  const { control, now } = state
  if (control.highestHeard <= control.revision) return []
  if (control.fetch !== undefined && now < control.fetch.deadline) return []
  const sources = listSources(state)
  if (sources.length === 0) return []
  const source = sources[uniformInt(state.random, 0, sources.length - 1)]!
  return source === 'store' ? fetchFromStore(state) : fetchFromPeer(state, source)
}

/**
 * @param state - the node's state
 * @param event - deltas, of which some may be in force already
 * @returns what follows from the revisions that came into force
 * @internal
 */
export function receiveDeltas (state: NodeState, { fetchId, revision, deltas }: DeltasFetched): NodeEffect[] {
  const { control } = state
  const before = control.revision
  const effects = adoptDeltas(state, deltas)
  if (control.fetch?.id !== fetchId) return effects
  const { peer } = control.fetch
  control.fetch = undefined
  if (control.revision > before || peer === undefined) return effects.concat(startFetch(state))
  if (revision > control.revision) return fetchSnapshotFromPeer(state, peer)
  // The peer has heard of the revision but does not hold it yet.
  control.revisionSources.delete(peer)
  return startFetch(state)
}

/** Fetches the whole document from a peer whose deltas do not go back far enough. */
function fetchSnapshotFromPeer (state: NodeState, node: NodeId): NodeEffect[] {
  const peer = findPeer(state, node)
  if (peer === undefined) return []
  const fetchId = openFetch(state, SNAPSHOT_TIMEOUT, node)
  return [{ slice: 'control', type: 'fetchSnapshot', fetchId, peer }]
}

/**
 * @param state - the node's state
 * @param event - a whole control document
 * @returns what follows if it came into force
 * @internal
 */
export function receiveSnapshot (state: NodeState, { fetchId, snapshot }: SnapshotFetched): NodeEffect[] {
  if (state.control.fetch?.id === fetchId) state.control.fetch = undefined
  const before = state.control.revision
  const effects = adoptSnapshot(state, snapshot)
  // Without progress the next tick asks again, so that a peer that is behind is not asked in a loop.
  return state.control.revision > before ? effects.concat(startFetch(state)) : effects
}

/**
 * Forgets a fetch that failed; the next tick asks another source, so that a failing one is not asked in a loop.
 *
 * @param state - the node's state
 * @param event - the failure
 * @returns nothing
 * @internal
 */
export function handleFetchFailed ({ control }: NodeState, { fetchId }: FetchFailed): NodeEffect[] {
  if (control.fetch?.id === fetchId) control.fetch = undefined
  return []
}

function listSources (state: NodeState): Array<NodeId | 'store'> {
  const { control } = state
  const peers = [...control.revisionSources].filter((node) => findPeer(state, node) !== undefined)
  const storeHasRevision = control.head !== undefined && control.head.revision >= control.highestHeard
  return storeHasRevision ? [...peers, 'store'] : peers
}

function fetchFromPeer (state: NodeState, node: NodeId): NodeEffect[] {
  const peer = findPeer(state, node)!
  const fetchId = openFetch(state, DELTA_TIMEOUT, node)
  return [{ slice: 'control', type: 'fetchDeltas', fetchId, peer, since: state.control.revision }]
}

function fetchFromStore (state: NodeState): NodeEffect[] {
  const { revision, delta, snapshot } = state.control.head!
  return revision === state.control.revision + 1
    ? [{ slice: 'platform', type: 'readDelta', fetchId: openFetch(state, DELTA_TIMEOUT), digest: delta }]
    : [{ slice: 'platform', type: 'readSnapshot', fetchId: openFetch(state, SNAPSHOT_TIMEOUT), digest: snapshot }]
}

function openFetch ({ control, now }: NodeState, timeout: Millis, peer?: NodeId): FetchId {
  const id = toId<FetchId>(String(control.nextId++))
  control.fetch = { id, deadline: addMillis(now, timeout), peer }
  return id
}
