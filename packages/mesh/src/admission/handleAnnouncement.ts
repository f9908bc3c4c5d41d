import { addMillis, millis } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { Announcement, ServerAnnounced, ServerWithdrawn } from './AdmissionEvent'
import type { LocalServer } from './AdmissionState'
import { closeServer } from './closeServer'
import { type Departure, hasDeparted } from './Departure'
import { createGrayFailureState } from './GrayFailureDetector'
import { acknowledgeDeparture, recordDeparture } from './recordDeparture'
import { rejectQueued } from './rejectQueued'
import { reportCrash } from './reportCrash'
import { grantQueued } from './grantQueued'

/** A server that started by this much before the process may have sent responses to an earlier process of the node. */
const MIN_HEAD_START = millis(2_000)

/**
 * Applies an announcement of this instance's backend server. Announcements of earlier incarnations, those overtaken by
 * later ones and those of servers that have left are ignored.
 *
 * @param state - the node's state
 * @param event - the announcement
 * @returns effects
 * @internal
 */
export function handleAnnouncement (state: MeshState, { announcement, call }: ServerAnnounced): MeshEffect[] {
  const effects = applyAnnouncement(state, announcement)
  if (announcement.state === 'draining') return effects.concat(acknowledgeDeparture(state, call))
  return call === undefined ? effects : [...effects, { slice: 'announcement', type: 'acknowledge', call, accepted: true }]
}

function applyAnnouncement (state: MeshState, announcement: Announcement): MeshEffect[] {
  const { admission: { departure, server } } = state
  const isDraining = announcement.state === 'draining'
  if (!isDraining && hasDeparted(departure, announcement)) {
    return [describeIgnored('announcement of a departed server', announcement, server)]
  }
  if (server === undefined) return startIncarnation(state, announcement)
  // A server that is shutting down does not become ready again in the same incarnation, whatever the order in which its
  // announcements arrive.
  if (isDraining && server.state === 'ready' && isSameIncarnation(server, announcement)) {
    server.seq = Math.max(server.seq, announcement.seq)
    return closeServer(state, server, { nextState: 'draining', source: 'announcement' })
  }
  if (isOutdated(server, announcement)) return [describeIgnored('announcement outdated', announcement, server)]
  if (!isSameIncarnation(server, announcement)) return startIncarnation(state, announcement)
  const wasClosed = server.state !== 'ready' || !server.reachable
  server.seq = announcement.seq
  server.slots = announcement.slots
  server.lastAnnouncedAt = state.now
  server.reachable = true
  server.coldUntil = addMillis(state.now, announcement.coldRemaining)
  return wasClosed ? grantQueued(state) : []
}

/**
 * Closes the backend server of this instance when it announces its shutdown.
 *
 * @param state - the node's state
 * @param event - the server's shutdown notice
 * @returns effects
 * @internal
 */
export function handleWithdrawal (state: MeshState, event: ServerWithdrawn): MeshEffect[] {
  return [...applyWithdrawal(state, event), ...acknowledgeDeparture(state, event.call)]
}

function applyWithdrawal (state: MeshState, { endpoint, startedAt }: ServerWithdrawn): MeshEffect[] {
  const { admission: { server }, wallNow } = state
  if (server === undefined) return recordDeparture(state, { endpoint, startedAt: startedAt ?? wallNow })
  const isOfEarlierIncarnation = startedAt !== undefined && startedAt < server.startedAt
  if (isOfEarlierIncarnation || (startedAt === undefined && endpoint !== server.endpoint)) {
    return [describeIgnored('withdrawal ignored', { endpoint, startedAt }, server)]
  }
  // The withdrawal may be that of a later incarnation, and overtake its first announcement.
  const effects = recordDeparture(state, { endpoint, startedAt: startedAt ?? server.startedAt })
  if (endpoint !== server.endpoint || server.state === 'gone') return effects
  return [...effects, ...closeServer(state, server, { nextState: 'gone', source: 'withdrawal' })]
}

/**
 * Applies a departure that an earlier process of this node has recorded.
 *
 * @param state - the node's state
 * @param departure - the recorded departure
 * @returns effects
 * @internal
 */
export function restoreDeparture (state: MeshState, departure: Departure): MeshEffect[] {
  const { admission } = state
  // This process may have learned of a later departure, or of an earlier one by a late withdrawal.
  if (admission.departure !== undefined && admission.departure.startedAt >= departure.startedAt) return []
  admission.departure = departure
  admission.isDepartureRecorded = true
  const { server } = admission
  if (server?.state !== 'ready' || !hasDeparted(departure, server)) return []
  return closeServer(state, server, { nextState: 'gone', source: 'registry' })
}

/** Describes a call of a backend server that does not change what this node knows about its server. */
function describeIgnored (
  message: string,
  { endpoint, startedAt, seq }: Partial<Pick<Announcement, 'endpoint' | 'startedAt' | 'seq'>>,
  server: LocalServer | undefined
): MeshEffect {
  const current = { current: server?.endpoint, currentStartedAt: server?.startedAt, currentSeq: server?.seq }
  const fields = { endpoint, startedAt, seq, ...current, state: server?.state }
  return { slice: 'log', type: 'line', level: 'info', message, fields }
}

function isOutdated (server: LocalServer, { startedAt, seq, endpoint }: Announcement): boolean {
  if (startedAt !== server.startedAt) return startedAt < server.startedAt
  return endpoint === server.endpoint && seq <= server.seq
}

function isSameIncarnation (server: LocalServer, { startedAt, endpoint }: Announcement): boolean {
  return startedAt === server.startedAt && endpoint === server.endpoint
}

function startIncarnation (state: MeshState, announcement: Announcement): MeshEffect[] {
  const { admission, now } = state
  const previous = admission.server
  const effects = previous === undefined ? [] : reportCrash(state)
  const { endpoint, address, version, slots, startedAt, seq, coldRemaining } = announcement
  admission.server = {
    endpoint,
    address,
    version,
    versionChangedAt: previous === undefined || previous.version === version ? previous?.versionChangedAt : now,
    slots,
    startedAt,
    seq,
    state: announcement.state,
    lastAnnouncedAt: now,
    coldUntil: addMillis(now, coldRemaining),
    reachable: true,
    nextRequestAt: now,
    isLimitKnown: startedAt >= state.lifecycle.startedAt - MIN_HEAD_START
  }
  Object.assign(admission.grayFailure, createGrayFailureState())
  admission.suspicion = undefined
  admission.lastDisruptionAt = now
  const fields = { endpoint, version, startedAt, seq, slots, state: announcement.state, coldMs: coldRemaining }
  effects.push({ slice: 'log', type: 'line', level: 'info', message: 'backend server announced', fields })
  if (announcement.state === 'ready') return effects.concat(grantQueued(state))
  return [...effects, ...recordDeparture(state, { endpoint, startedAt }), ...rejectQueued(state, 'closed')]
}
