import { addMillis, type FetchId, type Millis, millis, type NodeId, toId } from '@lavenderturn/types'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { DeltasFetched, FetchFailed, SnapshotFetched } from './ControlEvent'
import { adoptDeltas, adoptSnapshot } from './adoptRevision'
import { findPeer } from './pollers'

/** Timeout of a fetch of deltas, after which another source may be tried. */
const DELTA_TIMEOUT = millis(500)

/** Timeout of a fetch of a snapshot, which is about 20 MB with 220,000 teams. */
const SNAPSHOT_TIMEOUT = millis(5_000)

/**
 * Starts to fetch the highest known revision, unless it is in force or a fetch is in progress.
 *
 * @param state - the node's state
 * @returns the fetch, if one is started
 * @internal
 */
export function startFetch (state: NodeState): NodeEffect[] {
  const { control, now } = state
  if (control.highestKnownRevision <= control.revision) return []
  if (control.fetch !== undefined && now < control.fetch.deadline) return []
  const sources = listSources(state)
  if (sources.length === 0) return []
  const source = sources[uniformInt(state.random, 0, sources.length - 1)]!
  return source === 'store' ? fetchFromStore(state) : fetchFromPeer(state, source)
}

/**
 * Applies fetched deltas, and continues with another fetch if the highest known revision is still missing.
 *
 * @param state - the node's state
 * @param event - fetched deltas, some of which may already be in force
 * @returns effects of the new revisions, and the next fetch
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
  // The peer knows of the revision but does not hold it yet.
  control.revisionSources.delete(peer)
  return startFetch(state)
}

/** Fetches the whole document from a peer that no longer keeps the deltas after this node's revision. */
function fetchSnapshotFromPeer (state: NodeState, node: NodeId): NodeEffect[] {
  const peer = findPeer(state, node)
  if (peer === undefined) return []
  const fetchId = openFetch(state, SNAPSHOT_TIMEOUT, node)
  return [{ slice: 'control', type: 'fetchSnapshot', fetchId, peer }]
}

/**
 * Applies a fetched snapshot if it is newer than the revision in force.
 *
 * @param state - the node's state
 * @param event - the fetched control document
 * @returns effects of the new revision, and the next fetch
 * @internal
 */
export function receiveSnapshot (state: NodeState, { fetchId, snapshot }: SnapshotFetched): NodeEffect[] {
  if (state.control.fetch?.id === fetchId) state.control.fetch = undefined
  const before = state.control.revision
  const effects = adoptSnapshot(state, snapshot)
  // Without progress, the next tick retries, so that a peer that is behind is not queried in a loop.
  return state.control.revision > before ? effects.concat(startFetch(state)) : effects
}

/**
 * Ends a failed fetch. The next tick starts another one, so that a failing source is not queried in a loop.
 *
 * @param state - the node's state
 * @param event - the failure
 * @returns no effects
 * @internal
 */
export function handleFetchFailed ({ control }: NodeState, { fetchId }: FetchFailed): NodeEffect[] {
  if (control.fetch?.id === fetchId) control.fetch = undefined
  return []
}

function listSources (state: NodeState): Array<NodeId | 'store'> {
  const { control } = state
  const peers = [...control.revisionSources].filter((node) => findPeer(state, node) !== undefined)
  const storeHasRevision = control.head !== undefined && control.head.revision >= control.highestKnownRevision
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
