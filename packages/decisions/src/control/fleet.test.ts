import { type ControlFleet, type ControlFleetNode, makeFleetDeclaration, makeControlFleet } from '@lavenderturn/fixtures'
import { toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { AnswerApply } from './ControlEffect'

const MINUTE_MS = 60_000

function apply (
  fleet: ControlFleet,
  node: ControlFleetNode,
  team: string,
  base = node.state.control.document?.revision ?? 0
): { answer?: AnswerApply } {
  const result: { answer?: AnswerApply } = {}
  fleet.call(node, (callId) => ({
    slice: 'control', type: 'applyAsked', callId, base: toId(base), declaration: makeFleetDeclaration({ team })
  }), (effect) => { result.answer = effect as AnswerApply })
  return result
}

/** Returns the share of checks at which the nodes serve. */
function measureServingShare (
  fleet: ControlFleet,
  nodes: readonly ControlFleetNode[],
  duration: number,
  step = 50
): number {
  let served = 0
  let checks = 0
  for (let passed = 0; passed < duration; passed += step) {
    fleet.time.run(step)
    for (const node of nodes) {
      checks += 1
      if (fleet.serves(node)) served += 1
    }
  }
  return served / checks
}

function startFleet (options: Parameters<typeof makeControlFleet>[0] = {}): ControlFleet {
  const fleet = makeControlFleet(options)
  fleet.time.run(2_000)
  const first = apply(fleet, fleet.nodes[0]!, 'first')
  fleet.time.run(3_000)
  expect(first.answer?.result).toBe('applied')
  return fleet
}

function listDataCentre (fleet: ControlFleet, dataCentre: string): ControlFleetNode[] {
  return fleet.nodes.filter(({ state }) => state.identity.dataCentre === dataCentre)
}

function isolate (fleet: ControlFleet, nodes: readonly ControlFleetNode[]): void {
  for (const node of nodes) {
    for (const other of fleet.nodes) {
      if (nodes.includes(other)) continue
      fleet.network.cutLinks.add(`${node.id}>${other.id}`)
      fleet.network.cutLinks.add(`${other.id}>${node.id}`)
    }
  }
}

describe('control document of a fleet in virtual time', () => {
  // Guards against changes that reach some nodes late, and against refused traffic in the absence of faults.
  it('puts an accepted revision into force everywhere within 0.5 s and never stops serving', () => {
    const fleet = startFleet({ nodesPerDataCentre: 10 })
    const result = apply(fleet, fleet.nodes[5]!, 'second')
    fleet.time.run(500)
    expect(result.answer?.result).toBe('applied')
    expect(fleet.nodes.map(({ state }) => state.control.revision)).toEqual(fleet.nodes.map(() => 2))
    expect(measureServingShare(fleet, fleet.nodes, MINUTE_MS)).toBe(1)
  })

  // Guards against the loss of all service while the store is down for every node.
  it('serves for hours without the store, refuses changes, and accepts them again afterwards', () => {
    const fleet = startFleet()
    fleet.store.faults.down = true
    expect(measureServingShare(fleet, fleet.nodes, 120 * MINUTE_MS)).toBe(1)
    const refused = apply(fleet, fleet.nodes[1]!, 'refused')
    fleet.time.run(12_000)
    expect(refused.answer?.result).toBe('storeUnreachable')
    fleet.store.faults.down = false
    fleet.time.run(2_000)
    const accepted = apply(fleet, fleet.nodes[1]!, 'accepted')
    fleet.time.run(2_000)
    expect(accepted.answer?.result).toBe('applied')
    // Two virtual hours take 13 to 25 s on a shared machine.
  }, 300_000)

  // Guards against a minority that accepts a key that the majority has withdrawn.
  it('stops service in a minority without the store within 2.5 s while the majority serves', () => {
    const fleet = startFleet()
    const minority = listDataCentre(fleet, 'dc-1')
    const majority = fleet.nodes.filter((node) => !minority.includes(node))
    isolate(fleet, minority)
    for (const { id } of minority) fleet.store.faults.unreachableNodes.add(id)
    fleet.time.run(2_550)
    expect(minority.map(fleet.serves)).toEqual(minority.map(() => false))
    expect(measureServingShare(fleet, majority, MINUTE_MS)).toBe(1)
    expect(measureServingShare(fleet, minority, MINUTE_MS)).toBe(0)
  })

  // Guards against service of a stale revision after a pause of the process: messages that queued up during the pause
  // carry ages that are too low.
  it('does not serve a stale revision when a node resumes after a pause', () => {
    const fleet = startFleet()
    const [paused, writer] = [fleet.nodes[0]!, fleet.nodes[4]!]
    fleet.pause(paused, 10_000)
    // Messages of the first 3 s queue up for the paused node; none about the second revision reaches it.
    fleet.time.run(3_000)
    for (const { id } of fleet.nodes) fleet.network.cutLinks.add(`${id}>${paused.id}`)
    fleet.store.faults.unreachableNodes.add(paused.id)
    const result = apply(fleet, writer, 'second')
    fleet.time.run(6_999)
    expect(result.answer?.result).toBe('applied')
    fleet.time.run(2)
    expect(paused.state.control.revision).toBe(1)
    expect(fleet.serves(paused)).toBe(false)
  })

  // Guards against service of an older revision when only the writer knows of the newer one: its result is lost, the
  // store goes down and the writer dies.
  it('stops service while it is unknown whether a write was accepted', () => {
    const fleet = startFleet()
    const writer = fleet.nodes[4]!
    fleet.store.faults.lossRate = 1
    const result = apply(fleet, writer, 'second')
    while (fleet.store.accepted.length < 2) {
      // Only the result of the compare-and-set is lost; reads are answered.
      const written = [...writer.state.control.writes.values()].some(({ phase }) => phase === 'writing')
      fleet.store.faults.lossRate = written ? 1 : 0
      fleet.time.run(0.1)
    }
    fleet.store.faults.down = true
    fleet.kill(writer)
    fleet.time.run(3_000)
    expect(result.answer).toBeUndefined()
    expect(fleet.nodes.filter(fleet.serves)).toEqual([])
    fleet.store.faults.down = false
    fleet.store.faults.lossRate = 0
    fleet.time.run(3_000)
    expect(fleet.nodes.filter(fleet.serves)).toHaveLength(8)
  })

  // Guards against the answer "not applied" for a write that took effect.
  it('reads the head to determine the outcome of a write whose result was lost', () => {
    const fleet = startFleet()
    const writer = fleet.nodes[4]!
    const result = apply(fleet, writer, 'second')
    while (fleet.store.accepted.length < 2) {
      fleet.store.faults.lossRate =
        [...writer.state.control.writes.values()].some(({ sendCount: sends }) => sends > 0) ? 1 : 0
      fleet.time.run(0.1)
    }
    fleet.time.run(900)
    expect(result.answer).toBeUndefined()
    fleet.store.faults.lossRate = 0
    fleet.time.run(3_000)
    expect(result.answer).toMatchObject({ result: 'applied', revision: 2 })
  })

  // Guards against the answer "not applied" when the first of two identical sends takes effect late.
  it('reports a write as applied when its first send takes effect after the second was sent', () => {
    const fleet = startFleet()
    const writer = fleet.nodes[4]!
    const result = apply(fleet, writer, 'second')
    const untilSends = (sends: number) => {
      while (![...writer.state.control.writes.values()].some((write) => write.sendCount === sends)) fleet.time.run(0.1)
    }
    // The first send takes effect after the client's timeout and the read of the head, but before the second send.
    fleet.store.faults.writeDelay = 1_200
    untilSends(1)
    fleet.store.faults.writeDelay = 500
    untilSends(2)
    expect(fleet.store.accepted).toHaveLength(1)
    fleet.time.run(3_000)
    expect(fleet.store.accepted).toHaveLength(2)
    expect(result.answer).toMatchObject({ result: 'applied', revision: 2 })
  })

  // Guards against two operators that are both told that their change was applied.
  it('applies exactly one of three concurrent changes with the same base', () => {
    const fleet = startFleet()
    const results = [fleet.nodes[0]!, fleet.nodes[1]!, fleet.nodes[2]!].map((node, index) => {
      return apply(fleet, node, `racer-${index}`)
    })
    fleet.time.run(5_000)
    expect(results.map(({ answer }) => answer?.result).sort()).toEqual(['applied', 'staleBase', 'staleBase'])
    expect(fleet.store.accepted).toHaveLength(2)
  })

  // Guards against an isolated writer whose change is accepted although the majority cannot learn of it.
  it('refuses a change at a node that reaches the store but not a majority', () => {
    const fleet = startFleet()
    isolate(fleet, listDataCentre(fleet, 'dc-1'))
    const result = apply(fleet, listDataCentre(fleet, 'dc-1')[0]!, 'second')
    fleet.time.run(3_000)
    expect(result.answer?.result).toBe('noMajority')
    expect(fleet.store.accepted).toHaveLength(1)
  })

  // Guards against partitions that stay without a live owner, and against a hand-over that is lost when dead owners are
  // replaced.
  it('replaces dead owners and records hand-overs', () => {
    const fleet = startFleet()
    const [dead, newOwner] = [fleet.nodes[0]!, fleet.nodes[3]!]
    const owned = [...newOwner.state.control.assignment.values()].filter(({ owner }) => owner === dead.id)
    expect(owned.length).toBeGreaterThan(0)
    const handedOver = { ...owned[0]!, owner: newOwner.id, sequence: 1 }
    fleet.store.faults.down = true
    fleet.dispatch(dead, { slice: 'control', type: 'handedOver', entry: handedOver })
    fleet.time.run(10_000)
    const entryAt = ({ state }: ControlFleetNode) => state.control.assignment.get(`${handedOver.partition}/${handedOver.domain}`)
    expect(fleet.nodes.map(entryAt)).toEqual(fleet.nodes.map(() => handedOver))
    fleet.kill(dead)
    for (const node of fleet.nodes) fleet.setMemberStatus(node, dead, 'dead')
    fleet.time.run(10_000)
    expect(fleet.store.accepted).toHaveLength(1)
    fleet.store.faults.down = false
    fleet.time.run(15_000)
    const live = fleet.nodes.filter(({ up }) => up)
    for (const { state } of live) {
      expect([...state.control.assignment.values()].filter(({ owner }) => owner === dead.id)).toEqual([])
      expect(state.control.unrecordedHandOvers.size).toBe(0)
    }
    expect(live.map(entryAt)).toEqual(live.map(() => handedOver))
    expect(fleet.store.accepted.at(-1)!.snapshot.assignment).toHaveLength(3 * 64)
  })

  // Guards against a node that cannot catch up from its peers while the store is down.
  it('fetches the whole document from a peer after missing more revisions than peers keep deltas', () => {
    const fleet = startFleet()
    const late = fleet.nodes[0]!
    isolate(fleet, [late])
    fleet.store.faults.unreachableNodes.add(late.id)
    for (let count = 0; count < 70; count += 1) {
      apply(fleet, fleet.nodes[1]!, `team-${count}`)
      fleet.time.run(1_000)
    }
    fleet.store.faults.down = true
    fleet.network.cutLinks.clear()
    fleet.time.run(3_000)
    expect(late.state.control.revision).toBe(71)
    expect(late.state.control.document?.findTeam(toId('team-69'))).toBeDefined()
  })
})
