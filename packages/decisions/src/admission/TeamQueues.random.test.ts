import { makePropertyOptions } from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Work } from './AdmissionState'
import { createTeamQueues, dequeue, enqueue, TEAM_QUEUE_LIMIT, TOTAL_QUEUE_LIMIT } from './TeamQueues'

const MAX_COST = 8

function makeQueued (id: number, team: number): Work {
  return {
    attemptId: toId(`a${id}`),
    endpoint: toId('endpoint-a'),
    route: toId('stock'),
    team: team === 0 ? undefined : toId(`t${team}`),
    fingerprint: toId(`print-${id}`),
    arrivedAt: millis(0),
    deadline: millis(5_000),
    phase: 'queued',
    streamed: false
  }
}

const arrival = fc.record({ team: fc.integer({ min: 0, max: 6 }), cost: fc.integer({ min: 1, max: MAX_COST }) })
const steps = fc.array(fc.oneof(
  { weight: 3, arbitrary: arrival },
  { weight: 1, arbitrary: fc.constant('take' as const) }
), { maxLength: 800 })

describe('deficit round robin', () => {
  // Guards against: lost or duplicated work, queues beyond their limits, and a team that gets less service than another
  // while both have queued work, by more than two requests of the greatest cost.
  it('serves teams with queued work equally and keeps to the queue limits', () => {
    fc.assert(fc.property(steps, (script) => {
      const queues = createTeamQueues()
      const costs = new Map<Work, number>()
      const removed = new Set<Work>()
      let id = 0
      for (const step of script) {
        if (step === 'take') {
          const work = dequeue(queues, (queued) => costs.get(queued)!)
          if (work === undefined) expect(queues.size).toBe(0)
          else removed.add(work)
        } else {
          const work = makeQueued(id++, step.team)
          costs.set(work, step.cost)
          const dropped = enqueue(queues, work)
          if (dropped !== undefined) removed.add(dropped)
        }
        expect(queues.size).toBe(costs.size - removed.size)
        expect(queues.size).toBeLessThanOrEqual(TOTAL_QUEUE_LIMIT)
        for (const { work } of queues.activeQueues) expect(work.length).toBeLessThanOrEqual(TEAM_QUEUE_LIMIT)
      }
      checkEqualService(queues, costs)
    }), makePropertyOptions({ runs: 100 }))
  })
})

/** Dequeues until the first queue is empty, and checks that all teams have had nearly equal service until then. */
function checkEqualService (queues: ReturnType<typeof createTeamQueues>, costs: ReadonlyMap<Work, number>): void {
  const served = new Map([...queues.byTeam.keys()].map((team) => [team, 0]))
  const teams = queues.activeQueues.length
  if (teams < 2) return
  while (queues.activeQueues.length >= teams) {
    const work = dequeue(queues, (queued) => costs.get(queued)!)!
    served.set(work.team, served.get(work.team)! + costs.get(work)!)
    const shares = [...served.values()]
    // A queue can start with a deficit left from earlier turns, and be ahead by one request.
    expect(Math.max(...shares) - Math.min(...shares)).toBeLessThanOrEqual(2 * MAX_COST + 1)
  }
}
