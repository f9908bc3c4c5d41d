import { toId } from '@lavenderturn/types'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { Member } from '../directory/Member'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { readMissingRecords } from '../rollout/readMissingRecords'
import { CURRENT_AGE, ISOLATION_TIMEOUT, QUERIES, QUERY_INTERVAL } from './configurationTimings'
import { findConfirmationAge } from './confirmationAge'
import { countFollowers, isFollower, rankFollowers } from './rankFollowers'
import type { QueryId } from './RelayState'

const MAX_RANDOM = 2 ** 31 - 1
const RANDOM_RADIX = 36

/**
 * @returns the timer of the next check
 * @internal
 */
export function scheduleConfirmationCheck (): MeshEffect {
  const event = { slice: 'configuration', type: 'checkDue' } as const
  return { slice: 'timer', type: 'set', id: toId('configuration/check'), delay: QUERY_INTERVAL, event }
}

/**
 * Decides at intervals how this node learns of configurations. A few nodes of each data centre follow the store, and
 * the others query them, so that calls to the store do not grow with the fleet, and a node that the store turns away is
 * still told by its neighbours.
 *
 * @param state - the node's state
 * @returns effects
 * @internal
 */
export function checkConfirmation (state: MeshState): MeshEffect[] {
  const { configuration, now } = state
  const { relay } = configuration
  expireQueries(state)
  const ranked = rankFollowers(state)
  const isOutdated = findConfirmationAge(state) > CURRENT_AGE
  const isIsolated = isOutdated && now - relay.repliedAt > ISOLATION_TIMEOUT
  const effects = [
    scheduleConfirmationCheck(), ...setFollowing(state, isIsolated || isFollower(state, ranked))
  ]
  effects.push(...readMissingRecords(state))
  if (configuration.current === undefined && !relay.following) {
    effects.push({ slice: 'configuration', type: 'read' })
  }
  for (const member of new Set(selectTargets(state, { ranked, isOutdated }))) {
    if (member.node !== state.identity.nodeId) effects.push(sendQuery(state, member))
  }
  return effects
}

function selectTargets (
  state: MeshState,
  { ranked, isOutdated }: { readonly ranked: readonly Member[], readonly isOutdated: boolean }
): Member[] {
  const unreliable = drawUnreliable(state, ranked)
  if (isOutdated) {
    const anyMembers = drawMembers(state, [...state.directory.members.values()])
    return [...selectReliable(state, ranked, QUERIES.outdated), ...unreliable, ...anyMembers]
  }
  if (state.configuration.relay.following) return unreliable
  return [...selectReliable(state, ranked, QUERIES.current), ...unreliable]
}

function setFollowing ({ configuration }: MeshState, active: boolean): MeshEffect[] {
  const { relay } = configuration
  if (relay.following === active) return []
  relay.following = active
  const message = active ? 'store followed' : 'store no longer followed'
  return [
    { slice: 'configuration', type: 'follow', active },
    { slice: 'log', type: 'line', level: 'info', message, fields: { faults: relay.faults.size } }
  ]
}

/** A node that left a query of the previous round unanswered is replaced. */
function expireQueries ({ configuration }: MeshState): void {
  const { faults, queries } = configuration.relay
  for (const { node } of queries.values()) faults.set(node, 'absent')
  queries.clear()
}

/** Selects nodes that follow the store, each time in another order, which spreads the queries over them. */
function selectReliable (
  { configuration, identity, random }: MeshState,
  ranked: readonly Member[],
  count: number
): Member[] {
  const { faults } = configuration.relay
  const reliable = ranked.filter(({ node }) => node !== identity.nodeId && !faults.has(node))
    .slice(0, Math.max(count, countFollowers(ranked)))
  const first = reliable.length > 1 ? uniformInt(random, 0, reliable.length - 1) : 0
  return [...reliable.slice(first), ...reliable.slice(0, first)].slice(0, count)
}

/**
 * Draws a node that could not be relied on, to find out whether it can again. Those after this node in the order are
 * not expected to follow the store.
 */
function drawUnreliable ({ configuration, identity, random }: MeshState, ranked: readonly Member[]): Member[] {
  const end = ranked.findIndex(({ node }) => node === identity.nodeId)
  const candidates = ranked.slice(0, Math.max(end, 0)).filter(({ node }) => configuration.relay.faults.has(node))
  if (candidates.length === 0) return []
  // The first ones in the order are the most likely to follow the store.
  return [candidates[uniformInt(random, 0, uniformInt(random, 0, candidates.length - 1))]!]
}

/** Draws two nodes of any data centre, whose own followers the store may serve. */
function drawMembers ({ random }: MeshState, members: readonly Member[]): Member[] {
  if (members.length === 0) return []
  return [0, 1].map(() => members[uniformInt(random, 0, members.length - 1)]!)
}

function sendQuery (state: MeshState, { node, peerAddress }: Member): MeshEffect {
  const { configuration, identity, now, random, wallNow } = state
  const { relay } = configuration
  const query = toId<QueryId>(`${relay.nextQuery++}.${uniformInt(random, 0, MAX_RANDOM).toString(RANDOM_RADIX)}`)
  relay.queries.set(query, { node, askedAt: { steadyAt: now, wallAt: wallNow } })
  const message = { kind: 'askConfirmation', query, replyTo: identity.peerAddress } as const
  return { slice: 'peer', type: 'send', to: peerAddress, message }
}
