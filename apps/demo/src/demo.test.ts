import { fileURLToPath } from 'node:url'
import { describe, expect, it } from 'vitest'
import { createDemoState } from './DemoState'
import { formatOutcomes } from './formatOutcomes'
import { PlatformSteps } from './PlatformSteps'
import { reduceDemo } from './reduceDemo'
import { runDemo } from './runDemo'
import { StandinPlatformSteps } from './StandinPlatformSteps'

const TIMEOUT_MS = 120_000

/** Returns the command of a program that `npm run build` has bundled. */
function findProgram (name: string): readonly string[] {
  return [process.execPath, fileURLToPath(new URL(`../../../dist/${name}.mjs`, import.meta.url))]
}

const programs = {
  node: findProgram('lavenderturn-node'),
  backend: findProgram('standin-backend-server'),
  platform: findProgram('standin-platform'),
  ctl: findProgram('lavenderturn-ctl')
}

class FailingPlatformSteps extends PlatformSteps {
  override async start (): Promise<readonly string[]> {
    throw new Error('the platform does not start')
  }

  override async apply (): Promise<void> {}
}

describe('the demo', () => {
  it('answers all requests, cuts none in a planned stop, and leaves no process behind', async () => {
    const lines: string[] = []
    const result = await runDemo({
      programs, platform: new StandinPlatformSteps(), write: (line) => { lines.push(line) }
    })
    expect(result.state.problems).toEqual([])
    expect(result.code).toBe(0)
    expect(result.remainingPids).toEqual([])
    expect(lines).toContain('node-dc-1 stopped with code 0')
    expect(lines.some((line) => /^atlas +reservation +\d+/.test(line))).toBe(true)
  }, TIMEOUT_MS)

  it('exits with code 1 and leaves no process behind when a step fails', async () => {
    const result = await runDemo({ programs, platform: new FailingPlatformSteps(), write: () => {} })
    expect(result).toMatchObject({ code: 1, remainingPids: [] })
    expect(result.state.problems).toEqual(['startPlatform: the platform does not start'])
  })

  it('stops all children when one exits unexpectedly', () => {
    const state = createDemoState()
    reduceDemo(state, { type: 'started' })
    const effects = reduceDemo(state, { type: 'childExited', child: 'node-dc-1', code: 1 })
    expect(effects).toContainEqual({ type: 'runStep', step: 'stopAll' })
    reduceDemo(state, { type: 'stepDone', step: 'stopAll' })
    expect(reduceDemo(state, { type: 'stepDone', step: 'report' }).at(-1)).toEqual({ type: 'exit', code: 1 })
  })

  it('waits for all children to stop when interrupted twice', () => {
    const state = createDemoState()
    reduceDemo(state, { type: 'started' })
    expect(reduceDemo(state, { type: 'interrupted' })).toContainEqual({ type: 'runStep', step: 'stopAll' })
    expect(reduceDemo(state, { type: 'interrupted' })).toEqual([])
    expect(reduceDemo(state, { type: 'childExited', child: 'node-dc-1', code: 0 })).toEqual([])
    expect(state.step).toBe('stopAll')
  })

  it('reports a request with a broken connection as a problem', () => {
    const state = createDemoState()
    const outcome = { team: 'atlas', kind: 'lookup', latencyMs: 3, result: 'cut' } as const
    reduceDemo(state, { type: 'requestEnded', outcome })
    expect(state.problems).toHaveLength(1)
    expect(formatOutcomes(state.outcomes)).toEqual([
      'team   kind    requests  p50 ms  p99 ms  max ms  refused  cut  wrong',
      'atlas  lookup  1         3.0     3.0     3.0     0        1    0'
    ])
  })
})
