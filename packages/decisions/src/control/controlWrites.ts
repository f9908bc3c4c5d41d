import { addMillis, millis, toId, type WriterToken } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { adoptDeltas } from './adoptRevision'
import { buildWrite } from './buildWrite'
import type {
  ApplyAsked, HeadRead, HeadWritten, ObjectsFailed, ObjectsStored, PrepareAnswered
} from './ControlEvent'
import type { ApplyResult } from './ControlEffect'
import type { ControlChange, ControlWrite, WriteOutcome } from './ControlState'
import { recordReply } from './receiveFreshness'
import { ACCEPTED_WRITES_KEPT, type HeadRow } from './HeadRow'
import { raiseHighestKnownRevision } from './observeRevision'
import { INTENT_LIFETIME_MS, recordIntent } from './intents'
import { holdsMajority } from './majority'
import { findPeer, pollerQuorum } from './pollers'

/** An operator's `apply` is answered within this time. */
const APPLY_TIMEOUT_MS = 10_000

/** The store counts as unreachable if the head cannot be read within this time. */
const READ_TIMEOUT_MS = 3_000

/**
 * A reply proves for this time that its data centre is reachable; an older one says little about the present. The
 * compare-and-set must be sent within the same time after its intent was announced.
 */
export const MAJORITY_REPLY_LIFETIME = millis(1_000)

/** The result of a compare-and-set counts as unknown after this time. The client's own timeout is shorter. */
const WRITE_TIMEOUT_MS = 5_000

/** A compare-and-set whose result is unknown is sent again, with the same content, until this time after the start. */
const RESEND_PERIOD_MS = 30_000

/** Maximum number of retries of one change. Each retry follows a loss to a change of the assignment. */
const MAX_RETRIES = 5

/** Number of outcomes kept for pollers that ask. */
const MAX_RETAINED_OUTCOMES = 256

/**
 * Starts a write of an operator's declaration.
 *
 * @param state - the node's state
 * @param event - the declaration and its base revision
 * @returns a read of the head
 * @internal
 */
export function startApply (state: NodeState, { callId, base, declaration }: ApplyAsked): NodeEffect[] {
  return startWrite(state, { kind: 'declaration', callId, base, declaration })
}

/**
 * Starts a write of the head row.
 *
 * @param state - the node's state
 * @param change - change to make
 * @param previousAttempt - the attempt that this write retries, if any
 * @returns a read of the head
 * @internal
 */
export function startWrite (state: NodeState, change: ControlChange, previousAttempt?: ControlWrite): NodeEffect[] {
  const { control, identity, now } = state
  const token = toId<WriterToken>(`${identity.nodeId}/${control.nextId++}`)
  control.writes.set(token, {
    token,
    change,
    startedAt: previousAttempt?.startedAt ?? now,
    retries: previousAttempt === undefined ? 0 : previousAttempt.retries + 1,
    phase: 'reading',
    phaseStartedAt: now,
    acks: new Set(),
    sendCount: 0,
    answered: previousAttempt?.answered ?? false
  })
  return readHead(state)
}

/**
 * Continues writes that wait for the head row, and resolves writes in doubt.
 *
 * @param state - the node's state
 * @param event - the head row and when its read was started
 * @returns effects of the writes
 * @internal
 */
export function resumeWritesAfterRead (state: NodeState, event: HeadRead): NodeEffect[] {
  return [...state.control.writes.values()].flatMap((write) => {
    if (write.phase === 'inDoubt') return resolveInDoubtWrite(state, write, event)
    if (write.phase !== 'reading' || event.askedAt < write.phaseStartedAt) return []
    write.base = event.head
    enterPhase(state, write, 'catchingUp')
    return continueWrite(state, write)
  })
}

/**
 * Continues writes that waited for a revision to come into force at this node.
 *
 * @param state - the node's state
 * @returns effects of the writes
 * @internal
 */
export function resumeWritesAfterAdoption (state: NodeState): NodeEffect[] {
  return [...state.control.writes.values()].flatMap((write) => continueWrite(state, write))
}

/**
 * Announces the intent of a write once its snapshot and delta are stored.
 *
 * @param state - the node's state
 * @param event - digests of the stored objects
 * @returns the announcements to all pollers
 * @internal
 */
export function announceIntent (state: NodeState, event: ObjectsStored): NodeEffect[] {
  const { control, identity } = state
  const write = control.writes.get(event.token)
  if (write?.phase !== 'storing') return []
  const { token } = write
  write.nextHead = buildHead(write, event)
  enterPhase(state, write, 'preparing')
  const intent = { token, revision: write.nextHead.revision, writer: identity.nodeId }
  recordIntent(state, intent)
  write.acks.add(identity.nodeId)
  const peers = [...control.pollers.values()].flat().flatMap((node) => findPeer(state, node) ?? [])
  const announcements = peers.map((peer): NodeEffect => ({ slice: 'control', type: 'askPrepare', peer, intent }))
  return announcements.concat(sendWhenPrepared(state, write))
}

/**
 * Aborts a write whose snapshot or delta could not be stored.
 *
 * @param state - the node's state
 * @param event - the write's token
 * @returns the answer to the operator
 * @internal
 */
export function handleObjectsFailed (state: NodeState, { token }: ObjectsFailed): NodeEffect[] {
  const write = state.control.writes.get(token)
  return write?.phase === 'storing' ? abortWrite(state, write, 'storeUnreachable') : []
}

/**
 * Counts a poller that has recorded the intent of a write.
 *
 * @param state - the node's state
 * @param event - the poller and the write's token
 * @returns the compare-and-set once a majority has recorded the intent
 * @internal
 */
export function handlePrepareAnswered (state: NodeState, { token, from }: PrepareAnswered): NodeEffect[] {
  recordReply(state, from)
  const write = state.control.writes.get(token)
  if (write?.phase !== 'preparing') return []
  write.acks.add(from)
  return sendWhenPrepared(state, write)
}

/**
 * Handles the result of a compare-and-set of the head row.
 *
 * @param state - the node's state
 * @param event - the write's token and the result
 * @returns the operator's answer, or the next step of the write
 * @internal
 */
export function handleHeadWritten (state: NodeState, { token, result }: HeadWritten): NodeEffect[] {
  const write = state.control.writes.get(token)
  if (write === undefined || (write.phase !== 'writing' && write.phase !== 'inDoubt')) return []
  if (result === 'written') return completeWrite(state, write)
  // After an earlier send with an unknown result, a failed condition is ambiguous: that send may have taken effect.
  if (result === 'unknown' || write.sendCount > 1) return markInDoubt(state, write)
  if (result === 'notWritten') return abortWrite(state, write, 'storeUnreachable')
  return retryWrite(state, write)
}

/**
 * Aborts writes that have timed out, and reads the head again for writes that wait for it.
 *
 * @param state - the node's state
 * @returns effects of the writes
 * @internal
 */
export function checkWriteTimeouts (state: NodeState): NodeEffect[] {
  return [...state.control.writes.values()].flatMap((write) => checkWriteTimeout(state, write))
}

function checkWriteTimeout (state: NodeState, write: ControlWrite): NodeEffect[] {
  const { now } = state
  const inPhase = now - write.phaseStartedAt
  const overdue = now - write.startedAt > APPLY_TIMEOUT_MS
  switch (write.phase) {
    case 'preparing': return inPhase > MAJORITY_REPLY_LIFETIME ? abortWrite(state, write, 'noMajority') : []
    case 'writing': return inPhase > WRITE_TIMEOUT_MS ? markInDoubt(state, write) : []
    case 'inDoubt': return [...(overdue ? answerAcceptanceUnknown(state, write) : []), ...readHead(state)]
    case 'reading': return overdue || inPhase > READ_TIMEOUT_MS
      ? abortWrite(state, write, 'storeUnreachable')
      : readHead(state)
    default: return overdue ? abortWrite(state, write, 'storeUnreachable') : []
  }
}

function continueWrite (state: NodeState, write: ControlWrite): NodeEffect[] {
  if (write.phase !== 'catchingUp') return []
  const { change, base } = write
  if (change.kind === 'declaration' && change.base !== (base?.declarationRevision ?? 0)) {
    return abortWrite(state, write, 'staleBase')
  }
  const baseRevision = base?.revision ?? 0
  if (state.control.revision < baseRevision) return []
  if (state.control.revision > baseRevision) return retryWrite(state, write)
  const content = buildWrite(state, change)
  if (content === undefined) return abortWrite(state, write, 'staleBase')
  Object.assign(write, content)
  enterPhase(state, write, 'storing')
  return [{ slice: 'platform', type: 'storeObjects', token: write.token, ...content }]
}

function buildHead (write: ControlWrite, { snapshot, delta }: ObjectsStored): HeadRow {
  const { token } = write
  const { revision, declarationRevision, assignment } = write.snapshot!
  const earlier = write.base?.accepted ?? []
  return {
    revision,
    declarationRevision,
    snapshot,
    delta,
    token,
    accepted: [{ revision, token }, ...earlier].slice(0, ACCEPTED_WRITES_KEPT),
    assignmentEpoch: assignment.reduce((highest, { epoch }) => Math.max(highest, epoch), 0)
  }
}

function sendWhenPrepared (state: NodeState, write: ControlWrite): NodeEffect[] {
  const { control, now } = state
  if (now - write.phaseStartedAt > MAJORITY_REPLY_LIFETIME) return []
  const prepared = [...control.pollers].filter(([, pollers]) => {
    return pollers.filter((node) => write.acks.has(node)).length >= pollerQuorum(pollers.length)
  })
  if (!holdsMajority(state, prepared.map(([dataCentre]) => dataCentre))) return []
  const notAfter = addMillis(write.phaseStartedAt, MAJORITY_REPLY_LIFETIME)
  enterPhase(state, write, 'writing')
  return sendHead(write, notAfter)
}

function sendHead (write: ControlWrite, notAfter: ControlWrite['phaseStartedAt']): NodeEffect[] {
  write.sendCount += 1
  return [{
    slice: 'platform', type: 'writeHead', expected: write.base?.revision ?? toId(0), head: write.nextHead!, notAfter
  }]
}

function resolveInDoubtWrite (state: NodeState, write: ControlWrite, { askedAt, head }: HeadRead): NodeEffect[] {
  const { revision, token } = write.nextHead!
  if (head?.accepted.some((accepted) => accepted.token === token)) return completeWrite(state, write)
  const headRevision = head?.revision ?? 0
  if (headRevision >= revision) {
    const oldestListed = head?.accepted.at(-1)?.revision ?? 0
    // If the row no longer lists the write's revision, it cannot be determined which write created that revision.
    return oldestListed <= revision ? retryWrite(state, write) : abandonWrite(state, write)
  }
  if (askedAt < write.phaseStartedAt) return []
  if (state.now - write.startedAt > INTENT_LIFETIME_MS) return abortWrite(state, write, 'storeUnreachable')
  if (state.now - write.startedAt > RESEND_PERIOD_MS) return []
  // The lost write may still take effect. Sending the same write again settles it: the condition admits only one.
  const notAfter = addMillis(write.startedAt, millis(RESEND_PERIOD_MS))
  enterPhase(state, write, 'writing')
  return sendHead(write, notAfter)
}

function completeWrite (state: NodeState, write: ControlWrite): NodeEffect[] {
  const { control } = state
  const { revision } = write.nextHead!
  closeWrite(state, write, 'accepted')
  raiseHighestKnownRevision(control, revision)
  if (revision > (control.head?.revision ?? 0)) control.head = write.nextHead
  return [...adoptDeltas(state, [write.delta!]), ...answerOperator(write, 'applied', revision)]
}

function retryWrite (state: NodeState, write: ControlWrite): NodeEffect[] {
  if (write.change.kind === 'assignment') return abortWrite(state, write, 'staleBase')
  if (write.retries >= MAX_RETRIES) return abortWrite(state, write, 'storeUnreachable')
  closeWrite(state, write, 'withdrawn')
  return startWrite(state, write.change, write)
}

function abortWrite (state: NodeState, write: ControlWrite, result: ApplyResult): NodeEffect[] {
  closeWrite(state, write, 'withdrawn')
  return answerOperator(write, result, state.control.document?.revision ?? toId(0))
}

function abandonWrite (state: NodeState, write: ControlWrite): NodeEffect[] {
  const effects = answerAcceptanceUnknown(state, write)
  state.control.writes.delete(write.token)
  return effects
}

function markInDoubt (state: NodeState, write: ControlWrite): NodeEffect[] {
  enterPhase(state, write, 'inDoubt')
  return readHead(state)
}

function answerAcceptanceUnknown (state: NodeState, write: ControlWrite): NodeEffect[] {
  const effects = answerOperator(write, 'acceptanceUnknown', state.control.document?.revision ?? toId(0))
  write.answered = true
  return effects
}

function answerOperator (write: ControlWrite, result: ApplyResult, revision: HeadRow['revision']): NodeEffect[] {
  if (write.change.kind !== 'declaration' || write.answered) return []
  const { callId } = write.change
  return [{ slice: 'control', type: 'answerApply', callId, result, revision }]
}

function closeWrite ({ control }: NodeState, { token }: ControlWrite, outcome: WriteOutcome): void {
  control.writes.delete(token)
  control.intents.delete(token)
  control.outcomes.set(token, outcome)
  if (control.outcomes.size > MAX_RETAINED_OUTCOMES) control.outcomes.delete(control.outcomes.keys().next().value!)
}

function enterPhase (state: NodeState, write: ControlWrite, phase: ControlWrite['phase']): void {
  write.phase = phase
  write.phaseStartedAt = state.now
}

function readHead ({ control, now }: NodeState): NodeEffect[] {
  control.lastHeadReadStartedAt = now
  return [{ slice: 'platform', type: 'readHead', askedAt: now }]
}
