import { handleOwnerChanged as notifyPermits } from '../health/permitOwner'
import { handleOwnerChanged as notifyIdempotency } from '../idempotency/handleOwnerChanged'
import { handleOwnerChanged as notifyLimits } from '../limits/handleOwnerChanged'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { adoptDocument } from './adoptRevision'
import { answerConfirm, answerDeltas, answerSnapshot, answerStatus } from './answerCalls'
import type { ControlEvent, OwnerChanged } from './ControlEvent'
import { handlePrepareAnswered, handleHeadWritten, handleObjectsFailed, announceIntent, startApply } from './controlWrites'
import { handleFetchFailed, receiveDeltas, receiveSnapshot } from './fetchRevision'
import { handleHeadRead } from './renewFreshness'
import { handleConfirmAnswered, handleGossipHeard, recordReply } from './receiveFreshness'
import { observeRevision } from './observeRevision'
import { handlePrepareAsked, answerIntent, handleIntentAnswered } from './intents'
import { recordOwners } from './recordOwners'
import { startControl, tickControl } from './tickControl'

/**
 * Reduces an event of the control slice.
 *
 * @param state - the node's state; modified in place
 * @param event - event of the control slice
 * @returns effects to run
 * @internal
 */
export function reduceControl (state: NodeState, event: ControlEvent): NodeEffect[] {
  switch (event.type) {
    case 'applyAsked': return startApply(state, event)
    case 'confirmAnswered': return handleConfirmAnswered(state, event)
    case 'confirmAsked': return answerConfirm(state, event)
    case 'deltasAsked': return answerDeltas(state, event)
    case 'deltasFetched': return receiveDeltas(state, event)
    case 'documentAccepted': return adoptDocument(state, event.document)
    case 'fetchFailed': return handleFetchFailed(state, event)
    case 'gossipHeard': return handleGossipHeard(state, event)
    case 'handedOver': return recordOwners(state, [event.entry], 'handOver')
    case 'headRead': return handleHeadRead(state, event)
    case 'headWritten': return handleHeadWritten(state, event)
    case 'intentAnswered': return handleIntentAnswered(state, event)
    case 'intentAsked': return answerIntent(state, event)
    case 'memberReplied': return recordReply(state, event.node)
    case 'noticeHeard': return observeRevision(state, event.revision, event.from)
    case 'objectsFailed': return handleObjectsFailed(state, event)
    case 'objectsStored': return announceIntent(state, event)
    case 'ownerChanged': return notifyOwnerChange(state, event)
    case 'prepareAnswered': return handlePrepareAnswered(state, event)
    case 'prepareAsked': return handlePrepareAsked(state, event)
    case 'snapshotAsked': return answerSnapshot(state, event)
    case 'snapshotFetched': return receiveSnapshot(state, event)
    case 'started': return startControl(state)
    case 'statusAsked': return answerStatus(state, event)
    case 'ticked': return tickControl(state)
  }
}

function notifyOwnerChange (state: NodeState, change: OwnerChanged): NodeEffect[] {
  return [
    ...notifyLimits(state, change),
    ...notifyIdempotency(state, change),
    ...notifyPermits(state, change)
  ]
}
