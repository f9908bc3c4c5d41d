import { watchServer } from '../health/watchServer'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import type { ServerAnnounced, ServerWithdrawn } from './AdmissionEvent'
import type { LocalServer } from './AdmissionState'
import { confirmCrash } from './confirmCrash'
import { rejectQueue } from './rejectWork'
import { restartServer } from './restartServer'
import { startQueued } from './startQueued'
import { createTeamQueues } from './TeamQueues'

/**
 * Handles an announcement of a backend server. A new server, a new boot id, the end of draining and the return of a
 * server that refused connections count as cold starts.
 *
 * @param state - the node's state
 * @param event - the announcement
 * @returns effects
 * @internal
 */
export function announceServer (state: NodeState, event: ServerAnnounced): NodeEffect[] {
  const known = state.admission.servers.get(event.endpoint)
  if (known === undefined) return addServer(state, event)
  const changed = known.state !== event.state || known.bootId !== event.bootId
  const effects: NodeEffect[] = changed ? [logServer(event, `backend server ${event.state}`)] : []
  if (changed || known.slots !== event.slots) effects.push(raiseEndpointsChanged())
  const rebooted = known.bootId !== event.bootId && !known.bootIdProvisional
  if (rebooted) effects.push(...confirmCrash(state, known))
  const coldStart = rebooted || known.state !== event.state || !known.reachable
  known.address = event.address
  known.slots = event.slots
  known.bootId = event.bootId
  known.bootIdProvisional = false
  known.state = event.state
  known.limit.limit = Math.min(known.limit.limit, event.slots)
  if (event.state === 'draining') return effects.concat(rejectQueue(state, known, 'draining'))
  if (coldStart) effects.push(...restartServer(state, known))
  return effects.concat(startQueued(state, known))
}

function addServer (state: NodeState, event: ServerAnnounced): NodeEffect[] {
  const server: LocalServer = {
    endpoint: event.endpoint,
    service: event.service,
    address: event.address,
    slots: event.slots,
    bootId: event.bootId,
    bootIdProvisional: false,
    state: event.state,
    reachable: true,
    probeAt: event.at,
    startedAt: event.at,
    warm: false,
    inFlight: 0,
    queues: createTeamQueues(),
    limit: state.policies.concurrency.start(event.slots, event.at),
    timings: new Map(),
    broken: new Map()
  }
  state.admission.servers.set(event.endpoint, server)
  return [logServer(event, 'backend server announced'), raiseEndpointsChanged(), ...watchServer(state, server)]
}

/**
 * Removes a backend server and rejects the work that is queued for it.
 *
 * @param state - the node's state
 * @param event - the withdrawal
 * @returns effects
 * @internal
 */
export function withdrawServer (state: NodeState, { endpoint }: ServerWithdrawn): NodeEffect[] {
  const server = state.admission.servers.get(endpoint)
  if (server === undefined) return []
  state.admission.servers.delete(endpoint)
  state.health.localServers.delete(endpoint)
  return [raiseEndpointsChanged(), ...rejectQueue(state, server, 'draining')]
}

function raiseEndpointsChanged (): NodeEffect {
  return raise({ slice: 'membership', type: 'localEndpointsChanged' })
}

function logServer ({ endpoint, slots, bootId }: ServerAnnounced, message: string): NodeEffect {
  return { slice: 'log', type: 'stateChanged', message, fields: { endpoint, slots, bootId } }
}
