import { diffDeclarations, isEmptyDelta } from '@lavenderturn/declaration'
import { addMillis, millis, type Millis, type Revision } from '@lavenderturn/types'
import type { ApplyAnswer, CurrentDeclaration, FleetStatus, MemberStatus, TokenAnswer } from '../client/ControlClient'
import type { ApplyEffect, ApplyOutcome } from './ApplyEffect'
import type { ApplyEvent } from './ApplyEvent'
import type { ApplyState } from './ApplyState'

/** Poll interval; a revision is in force on all members within 3 s. */
const POLL_INTERVAL = millis(250)

/**
 * Applies one event to the state of an `apply`.
 *
 * @param state - state, updated in place
 * @param event - event to apply
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
    case 'waited': return poll(state)
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
  if (answer.kind === 'accepted') return awaitRollout(state, answer.revision, at)
  return finish(state, { kind: 'notApplied', result: answer.result, detail: answer.detail })
}

function handleTokenAnswer (state: ApplyState, answer: TokenAnswer, at: Millis): ApplyEffect[] {
  if (answer.kind === 'accepted') return awaitRollout(state, answer.revision, at)
  if (answer.kind === 'absent' && answer.revision > state.base!) {
    // The revision after the base belongs to another writer, so compare-and-set can no longer accept this request.
    const detail = `revision ${answer.revision} was written by somebody else`
    return finish(state, { kind: 'notApplied', result: 'staleBase', detail })
  }
  // As long as the base is in force, the request may still be in flight and be accepted later.
  state.detail = answer.kind === 'absent'
    ? `revision ${answer.revision} is still in force, and the request may be under way`
    : answer.detail ?? 'the node cannot tell'
  return waitOrTimeOut(state, at)
}

function handleFailure (
  state: ApplyState, { call, sent, detail, at }: Extract<ApplyEvent, { type: 'callFailed' }>
): ApplyEffect[] {
  if (call === 'readCurrent') return finish(state, { kind: 'notApplied', detail })
  state.detail = detail
  if (call !== 'sendApply') return waitOrTimeOut(state, at)
  if (!sent) return finish(state, { kind: 'notApplied', detail })
  state.phase = 'resolvingToken'
  state.deadline = addMillis(at, state.wait)
  return poll(state)
}

function awaitRollout (state: ApplyState, revision: Revision, at: Millis): ApplyEffect[] {
  state.phase = 'awaitingRollout'
  state.revision = revision
  state.deadline = addMillis(at, state.wait)
  state.detail = undefined
  return [{ type: 'readStatus' }]
}

function handleStatus (
  state: ApplyState, { node, revision: nodeRevision, members }: FleetStatus, at: Millis
): ApplyEffect[] {
  const activeMembers: Array<Pick<MemberStatus, 'node' | 'revision'>> = members.filter((member) => {
    return member.state === 'alive' || member.state === 'suspect'
  })
  // A node may omit itself from its list of members.
  if (!activeMembers.some((member) => member.node === node)) activeMembers.push({ node, revision: nodeRevision })
  const isInForce = (revision: Revision | undefined): boolean => revision !== undefined && revision >= state.revision!
  state.inForce = activeMembers.filter(({ revision }) => isInForce(revision)).map(({ node }) => node)
  state.pending = activeMembers.filter(({ revision }) => !isInForce(revision)).map(({ node }) => node)
  state.detail = undefined
  return state.pending.length === 0 ? finishAccepted(state) : waitOrTimeOut(state, at)
}

function waitOrTimeOut (state: ApplyState, at: Millis): ApplyEffect[] {
  if (at < state.deadline!) return [{ type: 'wait', delay: POLL_INTERVAL }]
  if (state.phase === 'awaitingRollout') return finishAccepted(state)
  const { base, token, detail } = state
  return finish(state, { kind: 'unknown', base: base!, token, detail: detail! })
}

function poll (state: ApplyState): ApplyEffect[] {
  if (state.phase === 'awaitingRollout') return [{ type: 'readStatus' }]
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
