import { addMillis, toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type {
  AdmissionEvent, QueueDeadlinePassed, ServerAnnounced, ServerWithdrawn, WorkArrived, WorkCancelled, WorkEnded
} from './AdmissionEvent'
import type { LocalServer, Work } from './AdmissionState'
import { rejectWork } from './rejectWork'
import { startQueued } from './startQueued'

/** Requests that may wait at one backend server. */
const QUEUE_LIMIT = 256

/**
 * @param state - the node's state
 * @param event - an event of the admission
 * @returns effects
 * @internal
 */
export function reduceAdmission (state: NodeState, event: AdmissionEvent): NodeEffect[] {
  switch (event.type) {
    case 'workArrived': return queueWork(state, event)
    case 'workEnded': return endWork(state, event)
    case 'workCancelled': return cancelWork(state, event)
    case 'queueDeadlinePassed': return expireWork(state, event)
    case 'serverAnnounced': return announceServer(state, event)
    case 'serverWithdrawn': return withdrawServer(state, event)
  }
}

function queueWork (state: NodeState, event: WorkArrived): NodeEffect[] {
  const server = state.admission.servers.get(event.endpoint)
  const { attemptId } = event
  if (server === undefined) return [{ slice: 'admission', type: 'reject', attemptId, result: 'noEndpoint' }]
  if (!takesNewWork(state, server)) return [{ slice: 'admission', type: 'reject', attemptId, result: 'draining' }]
  if (server.queue.length >= QUEUE_LIMIT) {
    return [{ slice: 'admission', type: 'reject', attemptId, result: 'queueFull' }]
  }
  const work: Work = {
    attemptId,
    endpoint: event.endpoint,
    route: event.route,
    team: event.team,
    fingerprint: event.fingerprint,
    arrivedAt: event.at,
    deadline: addMillis(event.at, event.timeout),
    phase: 'queued'
  }
  state.admission.work.set(attemptId, work)
  server.queue.push(work)
  const effects = startQueued(state, server)
  // TypeScript narrows `phase` to the value above, although `startQueued` may have changed it.
  if ((work.phase as Work['phase']) === 'queued') {
    effects.push({
      slice: 'timer',
      type: 'set',
      id: toId(`queue/${attemptId}`),
      delay: event.timeout,
      event: { slice: 'admission', type: 'queueDeadlinePassed', attemptId }
    })
  }
  return effects
}

function takesNewWork (state: NodeState, server: LocalServer): boolean {
  if (server.state === 'draining') return false
  return state.control.document?.dataCentreState(state.identity.dataCentre) !== 'out'
}

function endWork (state: NodeState, { attemptId }: WorkEnded): NodeEffect[] {
  const work = state.admission.work.get(attemptId)
  if (work === undefined) return []
  state.admission.work.delete(attemptId)
  return releaseSlot(state, work)
}

function cancelWork (state: NodeState, { attemptId }: WorkCancelled): NodeEffect[] {
  const work = state.admission.work.get(attemptId)
  if (work === undefined) return []
  // The slot of dispatched work is freed by `workEnded`, once the exchange is really over.
  if (work.phase === 'dispatched') return [{ slice: 'admission', type: 'cancelDispatch', attemptId }]
  state.admission.work.delete(attemptId)
  removeFromQueue(state, work)
  return [{ slice: 'timer', type: 'clear', id: toId(`queue/${attemptId}`) }]
}

function expireWork (state: NodeState, { attemptId }: QueueDeadlinePassed): NodeEffect[] {
  const work = state.admission.work.get(attemptId)
  if (work === undefined || work.phase !== 'queued') return []
  removeFromQueue(state, work)
  return rejectWork(state, work, 'deadlineInQueue')
}

function announceServer (state: NodeState, event: ServerAnnounced): NodeEffect[] {
  const known = state.admission.servers.get(event.endpoint)
  if (known === undefined) {
    state.admission.servers.set(event.endpoint, {
      endpoint: event.endpoint,
      service: event.service,
      address: event.address,
      slots: event.slots,
      bootId: event.bootId,
      state: event.state,
      inFlight: 0,
      queue: []
    })
    return [logServer(event, 'backend server announced')]
  }
  if (known.state === event.state && known.bootId === event.bootId) return []
  known.bootId = event.bootId
  known.state = event.state
  const effects: NodeEffect[] = [logServer(event, `backend server ${event.state}`)]
  return event.state === 'draining' ? effects.concat(rejectQueue(state, known)) : effects
}

function withdrawServer (state: NodeState, { endpoint }: ServerWithdrawn): NodeEffect[] {
  const server = state.admission.servers.get(endpoint)
  if (server === undefined) return []
  state.admission.servers.delete(endpoint)
  return rejectQueue(state, server)
}

function rejectQueue (state: NodeState, server: LocalServer): NodeEffect[] {
  return server.queue.splice(0).flatMap((work) => rejectWork(state, work, 'draining'))
}

function releaseSlot (state: NodeState, work: Work): NodeEffect[] {
  const server = state.admission.servers.get(work.endpoint)
  if (server === undefined) return []
  server.inFlight -= 1
  return startQueued(state, server)
}

function removeFromQueue (state: NodeState, work: Work): void {
  const queue = state.admission.servers.get(work.endpoint)?.queue
  const index = queue?.indexOf(work) ?? -1
  if (index >= 0) queue!.splice(index, 1)
}

function logServer ({ endpoint, slots, bootId }: ServerAnnounced, message: string): NodeEffect {
  return { slice: 'log', type: 'stateChanged', message, fields: { endpoint, slots, bootId } }
}
