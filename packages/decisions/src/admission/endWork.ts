import { toId } from '@lavenderturn/types'
import { recordRequestEnd } from '../health/recordRequestEnd'
import { findReference } from '../health/ServiceReference'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { clearCrashes } from '../quarantine/clearCrashes'
import type { ServerProbed, WorkEnded, WorkOutcome } from './AdmissionEvent'
import type { LocalServer, Work } from './AdmissionState'
import type { LimitSample } from './ConcurrencyLimit'
import { confirmCrash, failBrokenWork } from './confirmCrash'
import { rejectQueue, rejectWork } from './rejectWork'
import { restartServer } from './restartServer'
import { recordTiming } from './RouteTiming'
import { startQueued } from './startQueued'

/** Lowest status that counts as a failure of the backend server. */
const SERVER_ERROR_STATUS = 500

/**
 * Handles the end of a dispatched attempt and dispatches queued work to the slot that it frees.
 *
 * @param state - the node's state
 * @param event - how the exchange ended
 * @returns effects
 * @internal
 */
export function endWork (state: NodeState, { attemptId, outcome }: WorkEnded): NodeEffect[] {
  const work = state.admission.work.get(attemptId)
  if (work === undefined) return []
  state.admission.work.delete(attemptId)
  const server = state.admission.servers.get(work.endpoint)
  if (server === undefined) return []
  server.inFlight -= 1
  if (outcome.kind === 'answered') clearCrashes(state, work.fingerprint)
  const effects = outcome.kind === 'failed'
    ? handleFailure(state, server, work, outcome)
    : detectRestart(state, server, outcome)
  if (outcome.kind === 'shed') effects.push(...rejectWork(state, work, 'noEndpoint'))
  effects.push(...recordOutcome(state, server, work, outcome))
  return effects.concat(startQueued(state, server))
}

function detectRestart (state: NodeState, server: LocalServer, outcome: WorkOutcome): NodeEffect[] {
  if (outcome.kind !== 'answered' || outcome.bootId === undefined || outcome.bootId === server.bootId) return []
  const { bootIdProvisional } = server
  const effects = bootIdProvisional ? [] : confirmCrash(state, server)
  server.bootId = outcome.bootId
  server.bootIdProvisional = false
  // A server that returned after a crash has already been treated as cold.
  return bootIdProvisional ? effects : effects.concat(restartServer(state, server))
}

function handleFailure (
  state: NodeState,
  server: LocalServer,
  work: Work,
  { reason, sent }: Extract<WorkOutcome, { kind: 'failed' }>
): NodeEffect[] {
  if (work.cancelled === true) return []
  if (!sent) {
    const rejected = rejectWork(state, work, 'noEndpoint')
    return reason === 'connect' ? [...rejected, ...markUnreachable(state, server)] : rejected
  }
  // The gateway is answered after the probe, which shows whether the request may have crashed the server.
  work.failure = reason
  server.broken.set(work.attemptId, work)
  const { endpoint, address } = server
  return [{ slice: 'health', type: 'probeServer', endpoint, address }]
}

/**
 * Handles the result of a probe, which attempts a new connection. A reset alone is a fault of one connection; a reset
 * followed by a refused connection means that the backend server crashed.
 *
 * @param state - the node's state
 * @param event - the result of the probe
 * @returns effects
 * @internal
 */
export function handleServerProbed (
  state: NodeState,
  { endpoint, accepted }: Pick<ServerProbed, 'endpoint' | 'accepted'>
): NodeEffect[] {
  const server = state.admission.servers.get(endpoint)
  if (server === undefined) return []
  if (!accepted) return markUnreachable(state, server)
  const { effects } = failBrokenWork(state, server, false)
  if (server.reachable) return effects
  server.bootId = toId(`${server.bootId}+`)
  server.bootIdProvisional = true
  return effects.concat(restartServer(state, server), startQueued(state, server))
}

function markUnreachable (state: NodeState, server: LocalServer): NodeEffect[] {
  const effects = confirmCrash(state, server)
  if (!server.reachable) return effects
  server.reachable = false
  const { endpoint, bootId } = server
  return [
    { slice: 'log', type: 'stateChanged', message: 'backend server refuses connections', fields: { endpoint, bootId } },
    ...effects,
    ...rejectQueue(state, server, 'noEndpoint')
  ]
}

function recordOutcome (state: NodeState, server: LocalServer, work: Work, outcome: WorkOutcome): NodeEffect[] {
  if (work.cancelled === true) return []
  // A silent connection is a fault of the network path, because a new connection to the same backend server works.
  if (outcome.kind === 'failed' && outcome.reason === 'silent') return []
  const kind = classifyOutcome(outcome)
  const serviceMs = work.serviceStartedAt === undefined ? undefined : state.now - work.serviceStartedAt
  const timed = kind === 'success' && serviceMs !== undefined
  const typicalMs = findReference(state, server.service, server.endpoint)?.serviceMs
  const slowdown = timed ? recordTiming(server.timings, work.route, serviceMs, typicalMs) : undefined
  const sample: LimitSample = { kind, slowdown, atLimit: work.atLimit ?? false }
  state.policies.concurrency.update(server.limit, server.slots, sample, state.now)
  if (kind === 'shed') return []
  return recordRequestEnd(state, server, { failed: kind === 'error', serviceMs: timed ? serviceMs : undefined })
}

function classifyOutcome (outcome: WorkOutcome): LimitSample['kind'] {
  if (outcome.kind === 'shed') return 'shed'
  return outcome.kind === 'answered' && outcome.status < SERVER_ERROR_STATUS ? 'success' : 'error'
}
