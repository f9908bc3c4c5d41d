import { addMillis, millis, type ResultCodeName, toId } from '@lavenderturn/types'
import { acceptsTraffic } from '../health/acceptsTraffic'
import { describeLoad } from '../health/describeLoad'
import { mergeReference } from '../health/ServiceReference'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { isQuarantined } from '../quarantine/isQuarantined'
import type { WorkArrived } from './AdmissionEvent'
import type { LocalServer, Work } from './AdmissionState'
import { MAX_QUEUE_AGE } from './queueAge'
import { rejectWork } from './rejectWork'
import { startQueued } from './startQueued'
import { takesNewWork } from './takesNewWork'
import { enqueue } from './TeamQueues'

/**
 * Queues an attempt for a backend server, and dispatches it as soon as the server's limit allows it.
 *
 * @param state - the node's state
 * @param event - the arrival
 * @returns effects
 * @internal
 */
export function queueWork (state: NodeState, event: WorkArrived): NodeEffect[] {
  const server = state.admission.servers.get(event.endpoint)
  const { attemptId } = event
  if (server === undefined) return [{ slice: 'admission', type: 'reject', attemptId, result: 'noEndpoint' }]
  if (event.reference !== undefined) mergeReference(state, server.service, event.reference)
  const rejection = findRejection(state, server, event)
  if (rejection !== undefined) {
    const load = describeLoad(state, server.endpoint)
    return [{ slice: 'admission', type: 'reject', attemptId, result: rejection, load }]
  }
  const work = createWork(event)
  state.admission.work.set(attemptId, work)
  const dropped = enqueue(server.queues, work)
  const effects = dropped === undefined ? [] : rejectWork(state, dropped, 'queueFull')
  effects.push(...startQueued(state, server))
  if (isQueued(state, work)) effects.push(createQueueTimer(work))
  return effects
}

function findRejection (
  state: NodeState,
  server: LocalServer,
  { fingerprint }: WorkArrived
): ResultCodeName | undefined {
  // The gateway may not know of the crashes yet.
  if (isQuarantined(state, fingerprint)) return 'quarantined'
  if (!takesNewWork(state, server)) return 'draining'
  return server.reachable && acceptsTraffic(state, server) ? undefined : 'noEndpoint'
}

function createWork (event: WorkArrived): Work {
  return {
    attemptId: event.attemptId,
    endpoint: event.endpoint,
    route: event.route,
    team: event.team,
    fingerprint: event.fingerprint,
    arrivedAt: event.at,
    deadline: addMillis(event.at, event.timeout),
    phase: 'queued',
    streamed: event.streamed ?? false
  }
}

function isQueued (state: NodeState, work: Work): boolean {
  return work.phase === 'queued' && state.admission.work.has(work.attemptId)
}

function createQueueTimer ({ attemptId, arrivedAt, deadline }: Work): NodeEffect {
  return {
    slice: 'timer',
    type: 'set',
    id: toId(`queue/${attemptId}`),
    delay: millis(Math.min(deadline - arrivedAt, MAX_QUEUE_AGE)),
    event: { slice: 'admission', type: 'queueDeadlinePassed', attemptId }
  }
}
