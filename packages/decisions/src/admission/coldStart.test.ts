import { ColdStartFault, type TrafficFleet, trafficIds, makeTrafficFleet, makeTrafficDocument } from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { ConcurrencyLimit } from './ConcurrencyLimit'
import { AdaptiveConcurrencyLimit } from './AdaptiveConcurrencyLimit'
import { FixedConcurrencyLimit } from './FixedConcurrencyLimit'

/**
 * Requests that may exceed what the backend server bears. A start that the admission knows of allows none. One that
 * is not announced shows only in its effect on the requests that fill the 4 slots, and on those that follow them until
 * the first have ended.
 */
const OVERLOAD_BOUND = { known: 0, unannounced: 8 }

const COLD = 2

/** What happens to the backend server at `COLD` after the fleet has warmed up. */
type Start = (fleet: TrafficFleet) => void

const starts: Readonly<Record<string, Start>> = {
  'restart with a new boot id': (fleet) => { fleet.kill(trafficIds(COLD).node, trafficIds(COLD).endpoint) },
  'cold start that is not announced': (fleet) => { fleet.backends.get(trafficIds(COLD).endpoint)!.served = 0 },
  'return of its data centre': (fleet) => {
    const dataCentres = new Map([[trafficIds(COLD).dataCentre, 'out' as const]])
    publish(fleet, 2, dataCentres)
    fleet.queue.schedule(3_000, () => {
      fleet.backends.get(trafficIds(COLD).endpoint)!.served = 0
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

interface Overloads {
  readonly overloads: number
  readonly all: number
}

/** Counts the requests beyond what the backend server bears, and all that it got. */
function countOverloads (start: Start, concurrency: ConcurrencyLimit): Overloads {
  const fleet = makeTrafficFleet({ policies: { concurrency } })
  const { node, endpoint } = trafficIds(COLD)
  fleet.offer({ team: toId('fes'), ratePerSecond: 700, until: millis(25_000) })
  fleet.runUntil(8_000)
  const fault = new ColdStartFault()
  const backend = fleet.backends.get(endpoint)!
  backend.fault = fault
  backend.served = 1_000
  let all = 0
  fleet.onStep = ({ state }, event) => {
    if (state.identity.nodeId === node && event.type === 'workEnded') all += 1
  }
  start(fleet)
  fleet.runUntil(25_000)
  return { overloads: fault.overloads, all }
}

describe('a backend server in a cold start', () => {
  // Guards against: a surge of gateways that all find the backend server at the same time (I6).
  it.each(Object.keys(starts))('gets hardly more than it bears: %s', async (name) => {
    const adaptive = countOverloads(starts[name]!, new AdaptiveConcurrencyLimit())
    const fixed = countOverloads(starts[name]!, new FixedConcurrencyLimit())
    const bound = name === 'cold start that is not announced' ? OVERLOAD_BOUND.unannounced : OVERLOAD_BOUND.known
    expect(adaptive.overloads).toBeLessThanOrEqual(bound)
    expect(fixed.overloads).toBeGreaterThan(bound)
    const line = `${name}: ${adaptive.overloads} of ${adaptive.all} requests beyond what it bears; ` +
      `with a fixed limit ${fixed.overloads} of ${fixed.all}\n`
    await expect(line).toMatchFileSnapshot(`__golden__/coldStart-${name.replaceAll(' ', '-')}.txt`)
  })
})
