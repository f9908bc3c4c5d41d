import { ChildProcesses } from './ChildProcesses'
import type { DemoContext, DemoPrograms } from './DemoContext'
import type { DemoStep } from './DemoPlan'
import { createDemoState, type DemoState } from './DemoState'
import { demoSteps } from './demoSteps'
import { formatOutcomes } from './formatOutcomes'
import type { PlatformSteps } from './PlatformSteps'
import { type DemoEffect, type DemoEvent, reduceDemo } from './reduceDemo'

/** @public */
export interface DemoOptions {
  readonly programs: DemoPrograms
  readonly platform: PlatformSteps
  readonly write: (line: string) => void
}

/** @public */
export interface DemoResult {
  readonly code: number
  readonly state: DemoState
  /** Process ids of children that still run at the end; expected to be empty. */
  readonly remainingPids: readonly number[]
}

/**
 * Runs the demo: starts the programs as child processes, sends requests, stops one node, and stops all children.
 *
 * @param options - programs, platform steps and output
 * @returns exit code and final state
 * @public
 */
export async function runDemo ({ programs, platform, write }: DemoOptions): Promise<DemoResult> {
  const state = createDemoState()
  const children = new ChildProcesses({
    onStopping: (child) => { dispatch({ type: 'childStopping', child }) },
    onExit: (child, code) => { dispatch({ type: 'childExited', child, code }) }
  })
  const context: DemoContext = { children, programs, nodes: [], nodeArguments: [] }
  let finish: (code: number) => void
  const finished = new Promise<number>((resolve) => { finish = resolve })

  function dispatch (event: DemoEvent): void {
    for (const effect of reduceDemo(state, event)) run(effect)
  }

  function run (effect: DemoEffect): void {
    if (effect.type === 'print') write(effect.line)
    else if (effect.type === 'exit') finish(effect.code)
    else void runStep(effect.step)
  }

  async function runStep (step: DemoStep): Promise<void> {
    try {
      if (step === 'report') for (const line of formatOutcomes(state.outcomes)) write(line)
      else await demoSteps[step]({ context, platform, onOutcome: (outcome) => { dispatch({ type: 'requestEnded', outcome }) } })
      dispatch({ type: 'stepDone', step })
    } catch (err) {
      dispatch({ type: 'stepFailed', step, problem: err instanceof Error ? err.message : String(err) })
    }
  }

  const interrupt = (): void => { dispatch({ type: 'interrupted' }) }
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, interrupt)
  dispatch({ type: 'started' })
  const code = await finished
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.off(signal, interrupt)
  children.dispose()
  return { code, state, remainingPids: children.pids }
}
