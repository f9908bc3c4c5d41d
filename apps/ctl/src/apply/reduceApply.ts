import { diffDeclarations, isEmptyDelta } from '@lavenderturn/declaration'
import { addMillis, millis, type Millis, type Revision } from '@lavenderturn/types'
import type { ApplyAnswer, CurrentDeclaration, FleetStatus, MemberStatus, TokenAnswer } from '../client/ControlClient'
import type { ApplyEffect, ApplyOutcome } from './ApplyEffect'
import type { ApplyEvent } from './ApplyEvent'
import type { ApplyState } from './ApplyState'

/** Pause between two questions to a node; a revision spreads within 3 s. */
const POLL_INTERVAL = millis(250)

/**
 * Applies one event to the state of an `apply`.
 *
 * @param state - the state, updated in place
 * @param event - what happened
 * @returns the effects to run, in order
 * @public
 */
export function reduceApply (state: ApplyState, event: ApplyEvent): ApplyEffect[] {
  if (state.phase === 'finished') return []
  switch (event.type) {
    case 'started': return [{ type: 'readCurrent' }]
    case 'currentRead': return compareWithCurrent(state, event.current)
    case 'applyAnswered': return handleAnswer(state, event.answer, event.at)
    case 'tokenAnswered': return handleTokenAnswer(state, event.answer, event.at)
    case 'statusRead': return handleStatus(state, event.status, event.at)
    case 'callFailed': return handleFailure(state, event)
    case 'waited': return askAgain(state)
  }
}

function compareWithCurrent (state: ApplyState, { revision, declaration }: CurrentDeclaration): ApplyEffect[] {
  if (state.base !== undefined && state.base !== revision) {
    const detail = `the base is ${state.base}, and revision ${revision} is in force`
    return finish(state, { kind: 'notApplied', result: 'staleBase', detail })
  }
  state.base = revision
  state.delta = diffDeclarations(declaration, state.declaration)
  if (state.dryRun) return finish(state, { kind: 'dryRun', base: revision, delta: state.delta })
  if (isEmptyDelta(state.delta)) return finish(state, { kind: 'nothingToDo', revision })
  state.phase = 'sending'
  const { token, delta } = state
  return [{ type: 'sendApply', request: { token, base: revision, declaration: state.declaration, delta } }]
}

function handleAnswer (state: ApplyState, answer: ApplyAnswer, at: Millis): ApplyEffect[] {
  if (answer.kind === 'accepted') return watch(state, answer.revision, at)
  return finish(state, { kind: 'notApplied', result: answer.result, detail: answer.detail })
}

function handleTokenAnswer (state: ApplyState, answer: TokenAnswer, at: Millis): ApplyEffect[] {
  if (answer.kind === 'accepted') return watch(state, answer.revision, at)
  if (answer.kind === 'absent' && answer.revision > state.base!) {
    // Another writer took the revision after the base, so the request can never be accepted any more.
    const detail = `revision ${answer.revision} was written by somebody else`
    return finish(state, { kind: 'notApplied', result: 'staleBase', detail })
  }
  // While the base is in force the request can still be under way.
  state.detail = answer.kind === 'absent'
    ? `revision ${answer.revision} is still in force, and the request may be under way`
    : answer.detail ?? 'the node cannot tell'
  return waitOrGiveUp(state, at)
}

function handleFailure (
  state: ApplyState, { call, sent, detail, at }: Extract<ApplyEvent, { type: 'callFailed' }>
): ApplyEffect[] {
  if (call === 'readCurrent') return finish(state, { kind: 'notApplied', detail })
  state.detail = detail
  if (call !== 'sendApply') return waitOrGiveUp(state, at)
  if (!sent) return finish(state, { kind: 'notApplied', detail })
  state.phase = 'finding'
  state.deadline = addMillis(at, state.wait)
  return askAgain(state)
}

function watch (state: ApplyState, revision: Revision, at: Millis): ApplyEffect[] {
  state.phase = 'watching'
  state.revision = revision
  state.deadline = addMillis(at, state.wait)
  state.detail = undefined
  return [{ type: 'readStatus' }]
}

function handleStatus (state: ApplyState, { node, revision: own, members }: FleetStatus, at: Millis): ApplyEffect[] {
  const present: Array<Pick<MemberStatus, 'node' | 'revision'>> = members.filter((member) => {
    return member.state === 'alive' || member.state === 'suspect'
  })
  // A node need not list itself among the members that it knows.
  if (!present.some((member) => member.node === node)) present.push({ node, revision: own })
  const hasRevision = (revision: Revision | undefined): boolean => revision !== undefined && revision >= state.revision!
  state.inForce = present.filter(({ revision }) => hasRevision(revision)).map(({ node }) => node)
  state.pending = present.filter(({ revision }) => !hasRevision(revision)).map(({ node }) => node)
  state.detail = undefined
  return state.pending.length === 0 ? finishAccepted(state) : waitOrGiveUp(state, at)
}

function waitOrGiveUp (state: ApplyState, at: Millis): ApplyEffect[] {
  if (at < state.deadline!) return [{ type: 'wait', delay: POLL_INTERVAL }]
  if (state.phase === 'watching') return finishAccepted(state)
  const { base, token, detail } = state
  return finish(state, { kind: 'unknown', base: base!, token, detail: detail! })
}

function askAgain (state: ApplyState): ApplyEffect[] {
  if (state.phase === 'watching') return [{ type: 'readStatus' }]
  return [{ type: 'findToken', token: state.token, base: state.base! }]
}

function finishAccepted (state: ApplyState): ApplyEffect[] {
  const { revision, delta, inForce, pending, detail } = state
  return finish(state, { kind: 'accepted', revision: revision!, delta, inForce, pending, detail })
}

function finish (state: ApplyState, outcome: ApplyOutcome): ApplyEffect[] {
  state.phase = 'finished'
  return [{ type: 'finish', outcome }]
}
