import { type TrafficFleet, makeTrafficFleet, latencyPercentile, minServedShare } from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'

const TEAMS = ['t1', 't2', 't3', 't4', 't5', 't6', 't7', 't8']
const OTHER_TEAMS = TEAMS.slice(1)

/** An eighth of the capacity, about 1,100 requests/s for 6 backend servers with 4 slots and 20 ms service time. */
const SHARE_PER_SECOND = 130

/** Requests that arrive before this time are left out, because the backend servers are still cold. */
const WARM_UP_END_MS = 5_000

/** Minimum service of the worst-served other team, as a fraction of its service when all teams keep to their share. */
const MIN_SERVICE_RATIO = 0.99

interface RunOptions {
  readonly overShare: boolean
  readonly sharedQueue?: boolean
}

function run ({ overShare, sharedQueue }: RunOptions): TrafficFleet {
  const fleet = makeTrafficFleet({ teams: TEAMS, sharedQueue })
  for (const team of TEAMS) {
    const ratePerSecond = overShare && team === 't1' ? 5 * SHARE_PER_SECOND : SHARE_PER_SECOND
    fleet.offerLoad({ team: toId(team), ratePerSecond, until: millis(20_000) })
  }
  fleet.runUntil(26_000)
  return fleet
}

function describeRun (fleet: TrafficFleet): string {
  const results = fleet.results.filter(({ arrivedAt }) => arrivedAt > WARM_UP_END_MS)
  const others = results.filter(({ team }) => team !== 't1')
  return `worst-served of the other teams ${(100 * minServedShare(results, OTHER_TEAMS)).toFixed(2)} %, ` +
    `p99 of their latency ${latencyPercentile(others, 0.99).toFixed(0)} ms, ` +
    `team t1 ${(100 * minServedShare(results, ['t1'])).toFixed(2)} %`
}

describe('admission of several teams', () => {
  // Guards against: one team that sends five times its share and thereby reduces the service of the others.
  it('serves the other teams as before when one team sends five times its share', async () => {
    const atShare = run({ overShare: false })
    const fair = run({ overShare: true })
    const shared = run({ overShare: true, sharedQueue: true })
    const service = (fleet: TrafficFleet): number => {
      return minServedShare(fleet.results.filter(({ arrivedAt }) => arrivedAt > WARM_UP_END_MS), OTHER_TEAMS)
    }
    expect(service(fair)).toBeGreaterThanOrEqual(MIN_SERVICE_RATIO * service(atShare))
    expect(service(shared)).toBeLessThan(MIN_SERVICE_RATIO * service(atShare))
    const lines = [
      `all teams at their share: ${describeRun(atShare)}`,
      `t1 at five times its share: ${describeRun(fair)}`,
      `t1 at five times its share, one queue for all teams: ${describeRun(shared)}`
    ]
    await expect(lines.join('\n') + '\n').toMatchFileSnapshot('__golden__/fairness.txt')
  })
})
