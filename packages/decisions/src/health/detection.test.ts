import {
  type BackendFault, type Detection, type DetectionOptions, ErrorFault, FlappingFault, measureDetection, SlowFault
} from '@lavenderturn/fixtures'
import { describe, expect, it } from 'vitest'
import type { PolicyOptions } from '../Policies'
import { ConsecutiveErrorsEjection } from './ConsecutiveErrorsEjection'
import { NoEjection } from './NoEjection'
import { RandomEndpointPolicy } from './RandomEndpointPolicy'

const SEEDS = [1, 2, 3]

/** Maximum time to detect a fault once there have been enough responses. */
const DETECTION_BOUND_MS = 1_000

const faults: Readonly<Record<string, () => BackendFault>> = {
  'slow ×20': () => new SlowFault(20),
  '30 % errors': () => new ErrorFault(0.3),
  'flapping, slow ×20 for 3 s of 6 s': () => new FlappingFault(new SlowFault(20)),
  'flapping, 50 % errors for 3 s of 6 s': () => new FlappingFault(new ErrorFault(0.5))
}

const policies: Readonly<Record<string, PolicyOptions>> = {
  'outlier, power of two choices': {},
  'outlier, random endpoint': { endpoint: new RandomEndpointPolicy() },
  'consecutive errors, random endpoint': {
    ejection: new ConsecutiveErrorsEjection(), endpoint: new RandomEndpointPolicy()
  },
  'no ejection, random endpoint': { ejection: new NoEjection(), endpoint: new RandomEndpointPolicy() },
  'no ejection, power of two choices': { ejection: new NoEjection() }
}

/** Number of responses that distinguish a service time of 20 times the usual one, or an error rate of 30 % from 2 %. */
function minResponses (fault: string): number {
  return fault.includes('slow') ? 10 : 30
}

function measure (options: DetectionOptions): Detection[] {
  return SEEDS.map((seed) => measureDetection({ seed, ...options }))
}

function describeRuns (runs: readonly Detection[]): string {
  const times = runs.map(({ detectedMs }) => detectedMs === undefined ? 'never' : detectedMs.toFixed(0))
  const count = (key: 'falseEjections' | 'requests' | 'unserved'): number => {
    return runs.reduce((sum, run) => sum + run[key], 0)
  }
  const p99 = Math.max(...runs.map(({ p99Ms }) => p99Ms)).toFixed(0)
  return `detected after ${times.join(', ')} ms; false ejections ${count('falseEjections')}; ` +
    `${count('unserved')} of ${count('requests')} requests unserved; p99 ${p99} ms`
}

describe('detection of an unhealthy backend server', () => {
  // Guards against: late or missing detection, and ejection of healthy servers while another one is unhealthy.
  it.each(Object.keys(faults))('detects %s within 1 s after enough responses', (name) => {
    for (const lag of [0, 1_000]) {
      for (const run of measure({ fault: faults[name]!(), reportLagMs: lag, requiredResponses: minResponses(name) })) {
        expect(run.falseEjections).toBe(0)
        // Until there are enough responses, the endpoint policy diverts requests from the server.
        expect(run.detectedMs ?? 0).toBeLessThanOrEqual((run.requiredResponsesMs ?? Infinity) + DETECTION_BOUND_MS)
        expect(run.unserved / run.requests).toBeLessThan(0.01)
        if (name.includes('slow')) expect(run.detectedMs).toBeDefined()
      }
    }
  })

  // Guards against: false ejections due to random variation, here with 1 % errors everywhere, 5 % of the requests
  // taking 50 times longer, and late reports.
  it('ejects no healthy server', () => {
    const runs = measure({
      backend: { tail: { share: 0.05, factor: 50 }, fault: new ErrorFault(0.01) },
      fault: undefined,
      reportLagMs: 2_000,
      ratePerSecond: 200,
      observeFor: 60_000
    })
    expect(runs.map(({ falseEjections }) => falseEjections)).toEqual(SEEDS.map(() => 0))
  })

  // Guards against: unnoticed changes of the detection quality, and published figures that no run produced.
  it('compares the policies with the baselines', async () => {
    const lines: string[] = []
    for (const [fault, makeFault] of Object.entries(faults)) {
      lines.push(fault)
      for (const [policy, options] of Object.entries(policies)) {
        lines.push(`  ${policy}: ${describeRuns(measure({ fault: makeFault(), policies: options }))}`)
      }
    }
    await expect(lines.join('\n') + '\n').toMatchFileSnapshot('__golden__/detection.txt')
  }, 300_000)
})
