import { toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { AdmissionEvent, BodySent, QueueDeadlinePassed, WorkCancelled } from './AdmissionEvent'
import type { Work } from './AdmissionState'
import { announceServer, withdrawServer } from './announceServer'
import { endWork, handleServerProbed } from './endWork'
import { MAX_QUEUE_AGE } from './queueAge'
import { queueWork } from './queueWork'
import { rejectWork } from './rejectWork'
import { removeQueued } from './TeamQueues'

/**
 * @param state - the node's state
 * @param event - an event of this slice
 * @returns effects
 * @internal
 */
export function reduceAdmission (state: NodeState, event: AdmissionEvent): NodeEffect[] {
  switch (event.type) {
    case 'workArrived': return queueWork(state, event)
    case 'bodySent': return startService(state, event)
    case 'workEnded': return endWork(state, event)
    case 'workCancelled': return cancelWork(state, event)
    case 'queueDeadlinePassed': return expireWork(state, event)
    case 'serverAnnounced': return announceServer(state, event)
    case 'serverProbed': return handleServerProbed(state, event)
    case 'serverWithdrawn': return withdrawServer(state, event)
  }
}

function startService (state: NodeState, { attemptId, at }: BodySent): NodeEffect[] {
  const work = state.admission.work.get(attemptId)
  if (work?.phase === 'dispatched') work.serviceStartedAt = at
  return []
}

function cancelWork (state: NodeState, { attemptId }: WorkCancelled): NodeEffect[] {
  const work = state.admission.work.get(attemptId)
  if (work === undefined) return []
  // The slot of dispatched work is freed by `workEnded`, when the exchange has actually ended.
  if (work.phase === 'dispatched') {
    work.cancelled = true
    return [{ slice: 'admission', type: 'cancelDispatch', attemptId }]
  }
  state.admission.work.delete(attemptId)
  removeFromQueue(state, work)
  return [{ slice: 'timer', type: 'clear', id: toId(`queue/${attemptId}`) }]
}

function expireWork (state: NodeState, { attemptId }: QueueDeadlinePassed): NodeEffect[] {
  const work = state.admission.work.get(attemptId)
  if (work === undefined || work.phase !== 'queued') return []
  removeFromQueue(state, work)
  const atDeadline = work.deadline - work.arrivedAt <= MAX_QUEUE_AGE
  return rejectWork(state, work, atDeadline ? 'deadlineInQueue' : 'unconfirmed')
}

function removeFromQueue (state: NodeState, work: Work): void {
  const server = state.admission.servers.get(work.endpoint)
  if (server !== undefined) removeQueued(server.queues, work)
}
