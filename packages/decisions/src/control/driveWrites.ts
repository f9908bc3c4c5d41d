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
import { recordReply } from './hearFreshness'
import { ACCEPTED_WRITES_KEPT, type HeadRow } from './HeadRow'
import { raiseHighestHeard } from './hearRevision'
import { INTENT_LIFETIME_MS, recordIntent } from './intents'
import { holdMajority } from './majority'
import { findPeer, pollerQuorum } from './pollers'

/** An operator gets an answer within this time. */
const APPLY_TIMEOUT_MS = 10_000

/** A head that cannot be read for this time counts as unreachable. */
const READ_TIMEOUT_MS = 3_000

/** Replies of a majority count for this time: longer ago they say little of the present. */
export const MAJORITY_PROOF = millis(1_000)

/** A compare-and-set without any result is taken as unknown after this time; the client's own timeout is shorter. */
const WRITE_TIMEOUT_MS = 5_000

/** A compare-and-set whose result is unknown is sent again, with the same content, for this time. */
const RESEND_PERIOD_MS = 30_000

/** Attempts at one change; each further one follows a loss against a change of the assignment. */
const MAX_RETRIES = 5

/** Outcomes kept for pollers that ask. */
const OUTCOMES_KEPT = 256

/**
 * Starts a write for an operator.
 *
 * @param state - the node's state
 * @param event - the declaration and its base revision
 * @returns a read of the head
 * @internal
 */
export function startApply (state: NodeState, { callId, base, declaration }: ApplyAsked): NodeEffect[] {
  return openWrite(state, { kind: 'declaration', callId, base, declaration })
}

/**
 * Starts a write of the head row.
 *
 * @param state - the node's state
 * @param change - what the write is to change
 * @param earlier - the attempt that lost
 * @returns a read of the head
 * @internal
 */
export function openWrite (state: NodeState, change: ControlChange, earlier?: ControlWrite): NodeEffect[] {
  const { control, identity, now } = state
  const token = toId<WriterToken>(`${identity.nodeId}/${control.nextId++}`)
  control.writes.set(token, {
    token,
    change,
    startedAt: earlier?.startedAt ?? now,
    retries: earlier === undefined ? 0 : earlier.retries + 1,
    phase: 'reading',
    phaseAt: now,
    acks: new Set(),
    sends: 0,
    answered: earlier?.answered ?? false
  })
  return readHead(state)
}

/**
 * Continues writes after a read of the head.
 *
 * @param state - the node's state
 * @param event - the head row and when it was asked for
 * @returns effects
 * @internal
 */
export function driveWrites (state: NodeState, event: HeadRead): NodeEffect[] {
  return [...state.control.writes.values()].flatMap((write) => {
    if (write.phase === 'inDoubt') return settleWrite(state, write, event)
    if (write.phase !== 'reading' || event.askedAt < write.phaseAt) return []
    write.base = event.head
    enter(state, write, 'catchingUp')
    return continueWrite(state, write)
  })
}

/**
 * Continues writes that waited for a revision to come into force here.
 *
 * @param state - the node's state
 * @returns effects
 * @internal
 */
export function advanceWrites (state: NodeState): NodeEffect[] {
  return [...state.control.writes.values()].flatMap((write) => continueWrite(state, write))
}

/**
 * @param state - the node's state
 * @param event - the digests of the objects
 * @returns the announcement of the intent to all pollers
 * @internal
 */
export function prepareWrite (state: NodeState, event: ObjectsStored): NodeEffect[] {
  const { control, identity } = state
  const write = control.writes.get(event.token)
  if (write?.phase !== 'storing') return []
  const { token } = write
  write.next = makeHead(write, event)
  enter(state, write, 'preparing')
  const intent = { token, revision: write.next.revision, writer: identity.nodeId }
  recordIntent(state, intent)
  write.acks.add(identity.nodeId)
  const peers = [...control.pollers.values()].flat().flatMap((node) => findPeer(state, node) ?? [])
  const asks = peers.map((peer): NodeEffect => ({ slice: 'control', type: 'askPrepare', peer, intent }))
  return asks.concat(sendWhenPrepared(state, write))
}

/**
 * @param state - the node's state
 * @param event - the failure
 * @returns the answer "not applied"
 * @internal
 */
export function failObjects (state: NodeState, { token }: ObjectsFailed): NodeEffect[] {
  const write = state.control.writes.get(token)
  return write?.phase === 'storing' ? withdraw(state, write, 'storeUnreachable') : []
}

/**
 * @param state - the node's state
 * @param event - a poller that has recorded the intent
 * @returns the compare-and-set once a majority has recorded it
 * @internal
 */
export function countAck (state: NodeState, { token, from }: PrepareAnswered): NodeEffect[] {
  recordReply(state, from)
  const write = state.control.writes.get(token)
  if (write?.phase !== 'preparing') return []
  write.acks.add(from)
  return sendWhenPrepared(state, write)
}

/**
 * @param state - the node's state
 * @param event - what the table service made of a compare-and-set
 * @returns effects
 * @internal
 */
export function endHeadWrite (state: NodeState, { token, result }: HeadWritten): NodeEffect[] {
  const write = state.control.writes.get(token)
  if (write === undefined || (write.phase !== 'writing' && write.phase !== 'inDoubt')) return []
  if (result === 'written') return accept(state, write)
  // After an earlier send with an unknown result, a failed condition may be the effect of that very write.
  if (result === 'unknown' || write.sends > 1) return doubt(state, write)
  if (result === 'notWritten') return withdraw(state, write, 'storeUnreachable')
  return retry(state, write)
}

/**
 * Ends writes that take too long and looks for the outcome of those in doubt.
 *
 * @param state - the node's state
 * @returns effects
 * @internal
 */
export function driveOverdueWrites (state: NodeState): NodeEffect[] {
  return [...state.control.writes.values()].flatMap((write) => driveOverdue(state, write))
}

function driveOverdue (state: NodeState, write: ControlWrite): NodeEffect[] {
  const { now } = state
  const inPhase = now - write.phaseAt
  const overdue = now - write.startedAt > APPLY_TIMEOUT_MS
  switch (write.phase) {
    case 'preparing': return inPhase > MAJORITY_PROOF ? withdraw(state, write, 'noMajority') : []
    case 'writing': return inPhase > WRITE_TIMEOUT_MS ? doubt(state, write) : []
    case 'inDoubt': return [...(overdue ? answerUnknown(state, write) : []), ...readHead(state)]
    case 'reading': return overdue || inPhase > READ_TIMEOUT_MS
      ? withdraw(state, write, 'storeUnreachable')
      : readHead(state)
    default: return overdue ? withdraw(state, write, 'storeUnreachable') : []
  }
}

function continueWrite (state: NodeState, write: ControlWrite): NodeEffect[] {
  if (write.phase !== 'catchingUp') return []
  const { change, base } = write
  if (change.kind === 'declaration' && change.base !== (base?.declarationRevision ?? 0)) {
    return withdraw(state, write, 'staleBase')
  }
  const baseRevision = base?.revision ?? 0
  if (state.control.revision < baseRevision) return []
  if (state.control.revision > baseRevision) return retry(state, write)
  const parts = buildWrite(state, change)
  if (parts === undefined) return withdraw(state, write, 'staleBase')
  Object.assign(write, parts)
  enter(state, write, 'storing')
  return [{ slice: 'platform', type: 'storeObjects', token: write.token, ...parts }]
}

function makeHead (write: ControlWrite, { snapshot, delta }: ObjectsStored): HeadRow {
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
  if (now - write.phaseAt > MAJORITY_PROOF) return []
  const prepared = [...control.pollers].filter(([, pollers]) => {
    return pollers.filter((node) => write.acks.has(node)).length >= pollerQuorum(pollers.length)
  })
  if (!holdMajority(state, prepared.map(([dataCentre]) => dataCentre))) return []
  const notAfter = addMillis(write.phaseAt, MAJORITY_PROOF)
  enter(state, write, 'writing')
  return sendHead(write, notAfter)
}

function sendHead (write: ControlWrite, notAfter: ControlWrite['phaseAt']): NodeEffect[] {
  write.sends += 1
  return [{
    slice: 'platform', type: 'writeHead', expected: write.base?.revision ?? toId(0), head: write.next!, notAfter
  }]
}

function settleWrite (state: NodeState, write: ControlWrite, { askedAt, head }: HeadRead): NodeEffect[] {
  const { revision, token } = write.next!
  if (head?.accepted.some((accepted) => accepted.token === token)) return accept(state, write)
  const shown = head?.revision ?? 0
  if (shown >= revision) {
    const oldest = head?.accepted.at(-1)?.revision ?? 0
    // When the row no longer lists the write's revision, whose write it was stays unknown.
    return oldest <= revision ? retry(state, write) : giveUp(state, write)
  }
  if (askedAt < write.phaseAt) return []
  if (state.now - write.startedAt > INTENT_LIFETIME_MS) return withdraw(state, write, 'storeUnreachable')
  if (state.now - write.startedAt > RESEND_PERIOD_MS) return []
  // The lost write may still take effect. The same write again settles it: the condition lets only one through.
  const notAfter = addMillis(write.startedAt, millis(RESEND_PERIOD_MS))
  enter(state, write, 'writing')
  return sendHead(write, notAfter)
}

function accept (state: NodeState, write: ControlWrite): NodeEffect[] {
  const { control } = state
  const { revision } = write.next!
  close(state, write, 'accepted')
  raiseHighestHeard(control, revision)
  if (revision > (control.head?.revision ?? 0)) control.head = write.next
  return [...adoptDeltas(state, [write.delta!]), ...answer(write, 'applied', revision)]
}

function retry (state: NodeState, write: ControlWrite): NodeEffect[] {
  if (write.change.kind === 'assignment') return withdraw(state, write, 'staleBase')
  if (write.retries >= MAX_RETRIES) return withdraw(state, write, 'storeUnreachable')
  close(state, write, 'withdrawn')
  return openWrite(state, write.change, write)
}

function withdraw (state: NodeState, write: ControlWrite, result: ApplyResult): NodeEffect[] {
  close(state, write, 'withdrawn')
  return answer(write, result, state.control.document?.revision ?? toId(0))
}

function giveUp (state: NodeState, write: ControlWrite): NodeEffect[] {
  const effects = answerUnknown(state, write)
  state.control.writes.delete(write.token)
  return effects
}

function doubt (state: NodeState, write: ControlWrite): NodeEffect[] {
  enter(state, write, 'inDoubt')
  return readHead(state)
}

function answerUnknown (state: NodeState, write: ControlWrite): NodeEffect[] {
  const effects = answer(write, 'acceptanceUnknown', state.control.document?.revision ?? toId(0))
  write.answered = true
  return effects
}

function answer (write: ControlWrite, result: ApplyResult, revision: HeadRow['revision']): NodeEffect[] {
  if (write.change.kind !== 'declaration' || write.answered) return []
  const { callId } = write.change
  return [{ slice: 'control', type: 'answerApply', callId, result, revision }]
}

function close ({ control }: NodeState, { token }: ControlWrite, outcome: WriteOutcome): void {
  control.writes.delete(token)
  control.intents.delete(token)
  control.outcomes.set(token, outcome)
  if (control.outcomes.size > OUTCOMES_KEPT) control.outcomes.delete(control.outcomes.keys().next().value!)
}

function enter (state: NodeState, write: ControlWrite, phase: ControlWrite['phase']): void {
  write.phase = phase
  write.phaseAt = state.now
}

function readHead ({ control, now }: NodeState): NodeEffect[] {
  control.lastHeadRead = now
  return [{ slice: 'platform', type: 'readHead', askedAt: now }]
}
