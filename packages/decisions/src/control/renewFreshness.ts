import { millis, type Revision, toId } from '@lavenderturn/types'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { HeadRead, Peer } from './ControlEvent'
import { observeRevision } from './observeRevision'
import { expireIntents } from './intents'
import { freshnessAge } from './isFresh'
import { findPeer, isPoller } from './pollers'
import { resumeWritesAfterRead } from './controlWrites'

/** Interval between reads of the head by one poller. */
const POLL_INTERVAL_MS = 1_000

/** Half the tick interval. Without this tolerance, a timer that fires slightly early would halve the rate of reads. */
const TICK_SLACK_MS = 250

/** A node that is not a poller renews its proof of freshness once it is older than this. */
const RENEWAL_AGE_MS = 900

/** Above this age of the proof, a node also asks pollers of other data centres and may read the head itself. */
const LATE_RENEWAL_AGE_MS = 1_400

/** A poller queries the pollers of all data centres while its newest read of the head is older than this. */
const HEAD_READ_STALE_MS = 1_200

/**
 * Probability per tick that a node without answers from pollers reads the head itself. At 2 ticks a second, 2,600 nodes
 * stay below the store's limit of 2,000 reads/s.
 */
const FALLBACK_READ_CHANCE = 0.25

/**
 * Renews the proof that the revision in force is the latest: pollers read the head, other nodes query a poller.
 *
 * @param state - the node's state
 * @returns reads of the head and queries to pollers
 * @internal
 */
export function renewFreshness (state: NodeState): NodeEffect[] {
  const age = freshnessAge(state.control, state.now)
  return [...readHeadWhenDue(state, age), ...queryPollers(state, age)]
}

/**
 * Starts a read of the head.
 *
 * @param state - the node's state
 * @returns the read
 * @internal
 */
export function readHead ({ control, now }: NodeState): NodeEffect[] {
  control.lastHeadReadStartedAt = now
  return [{ slice: 'platform', type: 'readHead', askedAt: now }]
}

/**
 * Handles the result of a read of the head.
 *
 * @param state - the node's state
 * @param event - the head row and when its read was started
 * @returns the fetch of a new revision, and effects of writes
 * @internal
 */
export function handleHeadRead (state: NodeState, event: HeadRead): NodeEffect[] {
  const { control } = state
  const revision = event.head?.revision ?? toId<Revision>(0)
  if (event.head !== undefined && revision >= (control.head?.revision ?? 0)) control.head = event.head
  // Writes come first: if the row was written by this node, its revision is adopted without a fetch.
  const effects = resumeWritesAfterRead(state, event)
  effects.push(...observeRevision(state, revision))
  // A row below the highest known revision proves nothing: it was read too early or was restored from a backup.
  if (revision >= control.highestKnownRevision && event.askedAt > control.headReadAt) control.headReadAt = event.askedAt
  expireIntents(state, event)
  return effects
}

function readHeadWhenDue (state: NodeState, age: number): NodeEffect[] {
  const { lastHeadReadStartedAt } = state.control
  const due = state.now - lastHeadReadStartedAt >= POLL_INTERVAL_MS - TICK_SLACK_MS
  if (!due) return []
  if (isPoller(state)) return readHead(state)
  const late = age > LATE_RENEWAL_AGE_MS
  return late && uniformFloat64(state.random) < FALLBACK_READ_CHANCE ? readHead(state) : []
}

function queryPollers (state: NodeState, age: number): NodeEffect[] {
  const { control, now } = state
  if (isPoller(state)) {
    const stale = now - control.headReadAt > HEAD_READ_STALE_MS
    if (!stale || now - control.lastPollerQueryAt < POLL_INTERVAL_MS - TICK_SLACK_MS) return []
    control.lastPollerQueryAt = now
    return listPollers(state).map((peer) => requestConfirmation(state, peer))
  }
  if (age <= RENEWAL_AGE_MS) return []
  const preferred = listPollers(state, age <= LATE_RENEWAL_AGE_MS)
  const peers = preferred.length > 0 ? preferred : listPollers(state)
  if (peers.length === 0) return []
  return [requestConfirmation(state, peers[uniformInt(state.random, 0, peers.length - 1)]!)]
}

function listPollers (state: NodeState, ownDataCentreOnly = false): Peer[] {
  const { control, identity } = state
  const nodes = ownDataCentreOnly
    ? control.pollers.get(identity.dataCentre) ?? []
    : [...control.pollers.values()].flat()
  return nodes.flatMap((node) => findPeer(state, node) ?? [])
}

function requestConfirmation ({ now }: NodeState, peer: Peer): NodeEffect {
  return { slice: 'control', type: 'askConfirm', peer, askedAt: millis(now) }
}
