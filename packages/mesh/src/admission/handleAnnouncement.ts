import { addMillis, toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { Announcement, ServerAnnounced, ServerWithdrawn } from './AdmissionEvent'
import type { LocalServer } from './AdmissionState'
import { countReservations } from './countReservations'
import { createGrayFailureState } from './GrayFailureDetector'
import { rejectQueued } from './rejectQueued'
import { reportCrash } from './reportCrash'
import { grantQueued } from './grantQueued'

/**
 * Applies an announcement of this instance's backend server. Announcements of earlier incarnations and those overtaken
 * by later ones are ignored.
 *
 * @param state - the node's state
 * @param event - the announcement
 * @returns effects
 * @internal
 */
export function handleAnnouncement (state: MeshState, { announcement }: ServerAnnounced): MeshEffect[] {
  const { admission } = state
  const server = admission.server
  if (server !== undefined && isOutdated(server, announcement)) {
    return [describeIgnored('announcement outdated', announcement, server)]
  }
  if (server === undefined || isNewIncarnation(server, announcement)) return startIncarnation(state, announcement)
  const wasClosed = server.state !== 'ready' || !server.reachable
  server.seq = announcement.seq
  server.slots = announcement.slots
  server.lastAnnouncedAt = state.now
  server.reachable = true
  server.coldUntil = addMillis(state.now, announcement.coldRemaining)
  // A server that is shutting down does not become ready again in the same incarnation.
  if (announcement.state === 'draining' && server.state === 'ready') {
    return closeServer(state, server, { nextState: 'draining', source: 'announcement' })
  }
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
export function handleWithdrawal (state: MeshState, { endpoint, startedAt }: ServerWithdrawn): MeshEffect[] {
  const { server } = state.admission
  if (server?.endpoint === endpoint && server.state === 'gone') return []
  const isOfEarlierIncarnation = startedAt !== undefined && server !== undefined && startedAt < server.startedAt
  if (server?.endpoint !== endpoint || isOfEarlierIncarnation) {
    return [describeIgnored('withdrawal ignored', { endpoint, startedAt }, server)]
  }
  return closeServer(state, server, { nextState: 'gone', source: 'withdrawal' })
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

function isNewIncarnation (server: LocalServer, { startedAt, endpoint }: Announcement): boolean {
  return startedAt !== server.startedAt || endpoint !== server.endpoint
}

function startIncarnation (state: MeshState, announcement: Announcement): MeshEffect[] {
  const { admission, now } = state
  const effects = admission.server === undefined ? [] : reportCrash(state)
  const { endpoint, address, slots, startedAt, seq, coldRemaining } = announcement
  admission.server = {
    endpoint,
    address,
    slots,
    startedAt,
    seq,
    state: announcement.state,
    lastAnnouncedAt: now,
    coldUntil: addMillis(now, coldRemaining),
    reachable: true
  }
  Object.assign(admission.grayFailure, createGrayFailureState())
  admission.suspicion = undefined
  admission.lastDisruptionAt = now
  const fields = { endpoint, startedAt, seq, slots, state: announcement.state, coldMs: coldRemaining }
  effects.push({ slice: 'log', type: 'line', level: 'info', message: 'backend server announced', fields })
  if (announcement.state === 'draining') return effects.concat(rejectQueued(state, 'closed'))
  return effects.concat(grantQueued(state))
}

interface Closing {
  readonly nextState: 'draining' | 'gone'
  /** How the node learned that the server leaves. */
  readonly source: 'announcement' | 'withdrawal'
}

function closeServer (state: MeshState, server: LocalServer, { nextState, source }: Closing): MeshEffect[] {
  server.state = nextState
  const { endpoint, startedAt } = server
  const running = countReservations(state.admission, 'running')
  const fields = { endpoint, startedAt, state: nextState, source, running }
  return [
    { slice: 'log', type: 'line', level: 'info', message: 'backend server leaves', fields },
    { slice: 'timer', type: 'clear', id: toId('admission/queue') },
    ...rejectQueued(state, 'closed')
  ]
}
