import { ColdStartFault, type TrafficFleet, makeTrafficIds, makeTrafficFleet, makeTrafficDocument } from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { ConcurrencyLimit } from './ConcurrencyLimit'
import { AdaptiveConcurrencyLimit } from './AdaptiveConcurrencyLimit'
import { FixedConcurrencyLimit } from './FixedConcurrencyLimit'

/**
 * Number of requests that may exceed the capacity of the backend server: none after a start that the admission knows
 * of. An unannounced one is detected only by its effect on the requests in the 4 slots, and on those that follow them
 * until the first ones have ended.
 */
const OVERLOAD_BOUND = { known: 0, unannounced: 8 }

/** Index of the backend server that has a cold start. */
const COLD_INDEX = 2

/** Causes a cold start of the backend server at `COLD_INDEX` after the fleet has warmed up. */
type ColdStartTrigger = (fleet: TrafficFleet) => void

const triggers: Readonly<Record<string, ColdStartTrigger>> = {
  'restart with a new boot id': (fleet) => { fleet.crashBackend(makeTrafficIds(COLD_INDEX).node, makeTrafficIds(COLD_INDEX).endpoint) },
  'cold start that is not announced': (fleet) => { fleet.backends.get(makeTrafficIds(COLD_INDEX).endpoint)!.served = 0 },
  'return of its data centre': (fleet) => {
    const dataCentres = new Map([[makeTrafficIds(COLD_INDEX).dataCentre, 'out' as const]])
    publish(fleet, 2, dataCentres)
    fleet.queue.schedule(3_000, () => {
      fleet.backends.get(makeTrafficIds(COLD_INDEX).endpoint)!.served = 0
      publish(fleet, 3, new Map())
    })
  }
}

type DataCentres = Parameters<typeof makeTrafficDocument>[0]['dataCentres']

function publish (fleet: TrafficFleet, revision: number, dataCentres: DataCentres): void {
  const document = makeTrafficDocument({ revision, dataCentres })
  for (const nodeId of fleet.nodes.keys()) {
    fleet.dispatch(nodeId, { slice: 'control', type: 'documentAccepted', document })
  }
}

interface OverloadCount {
  readonly overloads: number
  readonly total: number
}

/** Counts the requests beyond the capacity of the backend server, and all requests that it got. */
function countOverloads (trigger: ColdStartTrigger, concurrency: ConcurrencyLimit): OverloadCount {
  const fleet = makeTrafficFleet({ policies: { concurrency } })
  const { node, endpoint } = makeTrafficIds(COLD_INDEX)
  fleet.offerLoad({ team: toId('fes'), ratePerSecond: 700, until: millis(25_000) })
  fleet.runUntil(8_000)
  const fault = new ColdStartFault()
  const backend = fleet.backends.get(endpoint)!
  backend.fault = fault
  backend.served = 1_000
  let all = 0
  fleet.onStep = ({ state }, event) => {
    if (state.identity.nodeId === node && event.type === 'workEnded') all += 1
  }
  trigger(fleet)
  fleet.runUntil(25_000)
  return { overloads: fault.overloadCount, total: all }
}

describe('a backend server in a cold start', () => {
  // Guards against: overload by gateways that all start to use the backend server at the same time (I6).
  it.each(Object.keys(triggers))('gets hardly more requests than it has capacity for: %s', async (name) => {
    const adaptive = countOverloads(triggers[name]!, new AdaptiveConcurrencyLimit())
    const fixed = countOverloads(triggers[name]!, new FixedConcurrencyLimit())
    const bound = name === 'cold start that is not announced' ? OVERLOAD_BOUND.unannounced : OVERLOAD_BOUND.known
    expect(adaptive.overloads).toBeLessThanOrEqual(bound)
    expect(fixed.overloads).toBeGreaterThan(bound)
    const line = `${name}: ${adaptive.overloads} of ${adaptive.total} requests beyond what it bears; ` +
      `with a fixed limit ${fixed.overloads} of ${fixed.total}\n`
    await expect(line).toMatchFileSnapshot(`__golden__/coldStart-${name.replaceAll(' ', '-')}.txt`)
  })
})
