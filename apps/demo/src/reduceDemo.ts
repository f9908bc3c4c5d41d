import { DEMO_STEPS, type DemoStep, type RequestOutcome } from './DemoPlan'
import type { DemoState } from './DemoState'

/** @public */
export type DemoEvent =
  | { readonly type: 'started' }
  | { readonly type: 'stepDone', readonly step: DemoStep }
  | { readonly type: 'stepFailed', readonly step: DemoStep, readonly problem: string }
  | { readonly type: 'requestEnded', readonly outcome: RequestOutcome }
  /** A child is going to be stopped. */
  | { readonly type: 'childStopping', readonly child: string }
  | { readonly type: 'childExited', readonly child: string, readonly code: number | null }
  | { readonly type: 'interrupted' }

/** @public */
export type DemoEffect =
  | { readonly type: 'runStep', readonly step: DemoStep }
  | { readonly type: 'print', readonly line: string }
  | { readonly type: 'exit', readonly code: number }

/** Problems that are written out; more of them say nothing new. */
const PROBLEM_LIMIT = 20

/**
 * Decides what the demo does next, and whether it succeeded.
 *
 * @param state - the state, updated in place
 * @param event - what happened
 * @returns what to do
 * @public
 */
export function reduceDemo (state: DemoState, event: DemoEvent): DemoEffect[] {
  switch (event.type) {
    case 'started': return enter(state, 'choosePorts')
    case 'stepDone': return event.step === state.step ? next(state, event.step) : []
    case 'stepFailed':
      state.problems.push(`${event.step}: ${event.problem}`)
      if (event.step !== state.step) return []
      return isEnding(state) ? next(state, event.step) : enter(state, 'stopAll')
    case 'requestEnded': return addOutcome(state, event.outcome)
    case 'childStopping':
      state.stopping.add(event.child)
      return []
    case 'childExited': return checkExit(state, event)
    case 'interrupted':
      state.problems.push('interrupted')
      return isEnding(state) ? [] : enter(state, 'stopAll')
  }
}

function enter (state: DemoState, step: DemoStep): DemoEffect[] {
  state.step = step
  return [{ type: 'print', line: `step ${step}` }, { type: 'runStep', step }]
}

function next (state: DemoState, step: DemoStep): DemoEffect[] {
  const following = DEMO_STEPS[DEMO_STEPS.indexOf(step) + 1]
  if (following !== undefined) return enter(state, following)
  const problems = state.problems.slice(0, PROBLEM_LIMIT)
  return [
    ...problems.map((problem): DemoEffect => ({ type: 'print', line: `problem: ${problem}` })),
    { type: 'print', line: state.problems.length === 0 ? 'demo passed' : 'demo failed' },
    { type: 'exit', code: state.problems.length === 0 ? 0 : 1 }
  ]
}

/** Children are stopped once; what fails after that only counts as a problem. */
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
  return wasStopped || isEnding(state) ? [] : enter(state, 'stopAll')
}
