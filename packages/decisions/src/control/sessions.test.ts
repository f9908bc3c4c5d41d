import { type ControlFleet, type ControlFleetOptions, makeFleetDeclaration, makeControlFleet, makeSessionLog } from '@lavenderturn/fixtures'
import { toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'

interface Session {
  readonly name: string
  readonly size: ControlFleetOptions
  readonly run: (fleet: ControlFleet) => void
}

function apply (fleet: ControlFleet, index: number, base: number, team: string): void {
  fleet.call(fleet.nodes[index]!, (callId) => ({
    slice: 'control', type: 'applyAsked', callId, base: toId(base), declaration: makeFleetDeclaration({ team })
  }))
}

const recordedSessions: readonly Session[] = [
  {
    name: 'accept-first-declaration',
    size: { dataCentres: 1, nodesPerDataCentre: 2 },
    run: (fleet) => {
      fleet.time.run(600)
      apply(fleet, 0, 0, 'first')
      fleet.time.run(600)
    }
  },
  {
    name: 'refuse-stale-base',
    size: { dataCentres: 1, nodesPerDataCentre: 1 },
    run: (fleet) => {
      apply(fleet, 0, 0, 'first')
      fleet.time.run(100)
      apply(fleet, 0, 0, 'second')
      fleet.time.run(100)
    }
  },
  {
    name: 'settle-lost-answer',
    size: { dataCentres: 1, nodesPerDataCentre: 1 },
    run: (fleet) => {
      apply(fleet, 0, 0, 'first')
      // Only the result of the compare-and-set is lost; stores of objects are answered.
      while (fleet.nodes[0]!.state.control.intents.size === 0) fleet.time.run(1)
      fleet.store.faults.lossRate = 1
      fleet.time.run(500)
      fleet.store.faults.lossRate = 0
      fleet.time.run(1_000)
    }
  },
  {
    name: 'replace-dead-owner',
    size: { dataCentres: 3, nodesPerDataCentre: 1 },
    run: (fleet) => {
      fleet.time.run(500)
      apply(fleet, 0, 0, 'first')
      fleet.time.run(500)
      fleet.kill(fleet.nodes[2]!)
      for (const node of fleet.nodes) fleet.setMemberStatus(node, fleet.nodes[2]!, 'dead')
      fleet.time.run(3_000)
    }
  }
]

describe('recorded sessions of the control document', () => {
  // Guards against unintended changes of the protocol.
  it.each(recordedSessions)('$name', async ({ name, size, run }) => {
    const log = makeSessionLog()
    const fleet = makeControlFleet({ ...size, observe: log.observe })
    run(fleet)
    await expect(log.text()).toMatchFileSnapshot(`./__golden__/${name}.txt`)
  })
})
