import { handleOwnerChanged as changePermitOwner } from '../health/permitOwner'
import { handleOwnerChanged as changeIdempotencyOwner } from '../idempotency/handleOwnerChanged'
import { handleOwnerChanged as changeLimitsOwner } from '../limits/handleOwnerChanged'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { adoptDocument } from './adoptRevision'
import { answerConfirm, answerDeltas, answerSnapshot, answerStatus } from './answerCalls'
import type { ControlEvent, OwnerChanged } from './ControlEvent'
import { countAck, endHeadWrite, failObjects, prepareWrite, startApply } from './driveWrites'
import { endFetch, receiveDeltas, receiveSnapshot } from './fetchRevision'
import { learnHead } from './followHead'
import { hearConfirm, hearGossip, recordReply } from './hearFreshness'
import { hearRevision } from './hearRevision'
import { acceptPrepare, answerIntent, learnOutcome } from './intents'
import { recordOwners } from './recordOwners'
import { startControl, tickControl } from './tickControl'

/**
 * @param state - the node's state
 * @param event - an event of the control document
 * @returns effects
 * @internal
 */
export function reduceControl (state: NodeState, event: ControlEvent): NodeEffect[] {
  switch (event.type) {
    case 'applyAsked': return startApply(state, event)
    case 'confirmAnswered': return hearConfirm(state, event)
    case 'confirmAsked': return answerConfirm(state, event)
    case 'deltasAsked': return answerDeltas(state, event)
    case 'deltasFetched': return receiveDeltas(state, event)
    case 'documentAccepted': return adoptDocument(state, event.document)
    case 'fetchFailed': return endFetch(state, event)
    case 'gossipHeard': return hearGossip(state, event)
    case 'handedOver': return recordOwners(state, [event.entry], 'handOver')
    case 'headRead': return learnHead(state, event)
    case 'headWritten': return endHeadWrite(state, event)
    case 'intentAnswered': return learnOutcome(state, event)
    case 'intentAsked': return answerIntent(state, event)
    case 'memberReplied': return recordReply(state, event.node)
    case 'noticeHeard': return hearRevision(state, event.revision, event.from)
    case 'objectsFailed': return failObjects(state, event)
    case 'objectsStored': return prepareWrite(state, event)
    case 'ownerChanged': return notifyOwnerChange(state, event)
    case 'prepareAnswered': return countAck(state, event)
    case 'prepareAsked': return acceptPrepare(state, event)
    case 'snapshotAsked': return answerSnapshot(state, event)
    case 'snapshotFetched': return receiveSnapshot(state, event)
    case 'started': return startControl(state)
    case 'statusAsked': return answerStatus(state, event)
    case 'ticked': return tickControl(state)
  }
}

function notifyOwnerChange (state: NodeState, change: OwnerChanged): NodeEffect[] {
  return [
    ...changeLimitsOwner(state, change),
    ...changeIdempotencyOwner(state, change),
    ...changePermitOwner(state, change)
  ]
}
