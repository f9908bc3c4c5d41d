import { type TrafficFleet, makeTrafficFleet, percentile, worstServed } from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'

const TEAMS = ['t1', 't2', 't3', 't4', 't5', 't6', 't7', 't8']
const OTHERS = TEAMS.slice(1)

/** 6 backend servers with 4 slots and 20 ms of service bear about 1,100 requests/s; this is an eighth of it. */
const SHARE_PER_SECOND = 130

/** Requests before this time meet cold backend servers. */
const WARM_AT = 5_000

/** Least part of its service alone that the worst-served team keeps. */
const TARGET = 0.99

interface Run {
  readonly greedy: boolean
  readonly sharedQueue?: boolean
}

function run ({ greedy, sharedQueue }: Run): TrafficFleet {
  const fleet = makeTrafficFleet({ teams: TEAMS, sharedQueue })
  for (const team of TEAMS) {
    const ratePerSecond = greedy && team === 't1' ? 5 * SHARE_PER_SECOND : SHARE_PER_SECOND
    fleet.offer({ team: toId(team), ratePerSecond, until: millis(20_000) })
  }
  fleet.runUntil(26_000)
  return fleet
}

function describeRun (fleet: TrafficFleet): string {
  const results = fleet.results.filter(({ arrivedAt }) => arrivedAt > WARM_AT)
  const others = results.filter(({ team }) => team !== 't1')
  return `worst-served of the other teams ${(100 * worstServed(results, OTHERS)).toFixed(2)} %, ` +
    `p99 of their latency ${percentile(others, 0.99).toFixed(0)} ms, ` +
    `team t1 ${(100 * worstServed(results, ['t1'])).toFixed(2)} %`
}

describe('teams at the admission', () => {
  // Guards against: one team that sends five times its share and takes the service of the others.
  it('serves each team as if it were alone when one team sends five times its share', async () => {
    const alone = run({ greedy: false })
    const fair = run({ greedy: true })
    const shared = run({ greedy: true, sharedQueue: true })
    const service = (fleet: TrafficFleet): number => {
      return worstServed(fleet.results.filter(({ arrivedAt }) => arrivedAt > WARM_AT), OTHERS)
    }
    expect(service(fair)).toBeGreaterThanOrEqual(TARGET * service(alone))
    expect(service(shared)).toBeLessThan(TARGET * service(alone))
    const lines = [
      `all teams at their share: ${describeRun(alone)}`,
      `t1 at five times its share: ${describeRun(fair)}`,
      `t1 at five times its share, one queue for all teams: ${describeRun(shared)}`
    ]
    await expect(lines.join('\n') + '\n').toMatchFileSnapshot('__golden__/fairness.txt')
  })
})
