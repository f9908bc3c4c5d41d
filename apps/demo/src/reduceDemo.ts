import { DEMO_STEPS, type DemoStep, type RequestOutcome } from './DemoPlan'
import type { DemoState } from './DemoState'

/** Input of the demo reducer. @public */
export type DemoEvent =
  | { readonly type: 'started' }
  | { readonly type: 'stepDone', readonly step: DemoStep }
  | { readonly type: 'stepFailed', readonly step: DemoStep, readonly problem: string }
  | { readonly type: 'requestEnded', readonly outcome: RequestOutcome }
  /** The demo is about to stop a child. */
  | { readonly type: 'childStopping', readonly child: string }
  | { readonly type: 'childExited', readonly child: string, readonly code: number | null }
  | { readonly type: 'interrupted' }

/** Side effects that the demo reducer requests. @public */
export type DemoEffect =
  | { readonly type: 'runStep', readonly step: DemoStep }
  | { readonly type: 'print', readonly line: string }
  | { readonly type: 'exit', readonly code: number }

/** Limit of printed problems; further ones rarely have another cause. */
const MAX_PRINTED_PROBLEMS = 20

/**
 * Sequences the steps of the demo and decides whether it succeeded.
 *
 * @param state - state, updated in place
 * @param event - event to apply
 * @returns the effects to run
 * @public
 */
export function reduceDemo (state: DemoState, event: DemoEvent): DemoEffect[] {
  switch (event.type) {
    case 'started': return enterStep(state, 'choosePorts')
    case 'stepDone': return event.step === state.step ? advance(state, event.step) : []
    case 'stepFailed':
      state.problems.push(`${event.step}: ${event.problem}`)
      if (event.step !== state.step) return []
      return isEnding(state) ? advance(state, event.step) : enterStep(state, 'stopAll')
    case 'requestEnded': return addOutcome(state, event.outcome)
    case 'childStopping':
      state.stopping.add(event.child)
      return []
    case 'childExited': return checkExit(state, event)
    case 'interrupted':
      state.problems.push('interrupted')
      return isEnding(state) ? [] : enterStep(state, 'stopAll')
  }
}

function enterStep (state: DemoState, step: DemoStep): DemoEffect[] {
  state.step = step
  return [{ type: 'print', line: `step ${step}` }, { type: 'runStep', step }]
}

function advance (state: DemoState, step: DemoStep): DemoEffect[] {
  const nextStep = DEMO_STEPS[DEMO_STEPS.indexOf(step) + 1]
  if (nextStep !== undefined) return enterStep(state, nextStep)
  const problems = state.problems.slice(0, MAX_PRINTED_PROBLEMS)
  return [
    ...problems.map((problem): DemoEffect => ({ type: 'print', line: `problem: ${problem}` })),
    { type: 'print', line: state.problems.length === 0 ? 'demo passed' : 'demo failed' },
    { type: 'exit', code: state.problems.length === 0 ? 0 : 1 }
  ]
}

/** Returns whether `stopAll` was entered, which happens only once; later failures are only recorded as problems. */
function isEnding ({ step }: DemoState): boolean {
  return step === undefined || step === 'stopAll' || step === 'report'
}

function addOutcome (state: DemoState, outcome: RequestOutcome): DemoEffect[] {
  state.outcomes.push(outcome)
  if (outcome.result === 'answered') return []
  state.problems.push(`${outcome.kind} of team ${outcome.team} ${outcome.result}: ${outcome.detail ?? ''}`)
  return []
}

function checkExit (state: DemoState, { child, code }: Extract<DemoEvent, { type: 'childExited' }>): DemoEffect[] {
  const wasStopped = state.stopping.delete(child)
  if (wasStopped && code === 0) return [{ type: 'print', line: `${child} stopped with code 0` }]
  state.problems.push(`${child} ended with code ${code}${wasStopped ? '' : ' by itself'}`)
  return wasStopped || isEnding(state) ? [] : enterStep(state, 'stopAll')
}
