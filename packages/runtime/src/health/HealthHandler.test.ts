import type { EventBody, NodeEvent, RuntimeEffect } from '@lavenderturn/decisions'
import {
  assignOwner, makeTrafficIds, makeEndpoint, makeTrafficDocument, makeIdentity, makeMember, makeState
} from '@lavenderturn/fixtures'
import { type Address, type EndpointId, type Millis, millis, toId } from '@lavenderturn/types'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { Clock } from '../Clock'
import { createControlServer } from '../peers/createControlServer'
import { PeerTransports } from '../peers/PeerTransports'
import { Runtime, StepObserver } from '../Runtime'
import { createHealthRoutes } from './createHealthRoutes'
import { HealthHandler } from './HealthHandler'

class ManualClock extends Clock {
  time: Millis = millis(0)

  override now (): Millis {
    return this.time
  }
}

/** Waits for the next event of a type. */
class EventWaiter extends StepObserver {
  private readonly waiting: Array<{ readonly type: string, readonly resolve: (event: NodeEvent) => void }> = []

  override observe (event: NodeEvent, _effects: readonly RuntimeEffect[]): void {
    const index = this.waiting.findIndex(({ type }) => type === event.type)
    if (index >= 0) this.waiting.splice(index, 1)[0]!.resolve(event)
  }

  async next (type: NodeEvent['type']): Promise<NodeEvent> {
    return await new Promise((resolve) => { this.waiting.push({ type, resolve }) })
  }
}

describe('permits between nodes', () => {
  const closers: Array<() => Promise<void> | void> = []
  // Servers wait for open connections, so connections are closed first.
  afterEach(async () => { for (const close of closers.splice(0)) await close() })

  function start (
    index: number
  ): { runtime: Runtime, handler: HealthHandler, clock: ManualClock, waiter: EventWaiter } {
    const nodeId = makeTrafficIds(index).node
    const clock = new ManualClock()
    const waiter = new EventWaiter()
    const state = makeState({ identity: makeIdentity({ nodeId }) })
    const runtime = new Runtime({ state, clock, observers: [waiter] })
    const peers = new PeerTransports()
    const handler = new HealthHandler({ runtime, peers, nodeId })
    runtime.addHandler(handler)
    runtime.dispatch({ slice: 'control', type: 'documentAccepted', document: makeTrafficDocument({}) })
    for (const member of [0, 1]) {
      const record = makeMember({
        nodeId: makeTrafficIds(member).node, endpoints: [makeEndpoint({ id: makeTrafficIds(member).endpoint })]
      })
      runtime.dispatch({ slice: 'membership', type: 'memberLearned', status: 'alive', record })
    }
    assignOwner({ state, timers: new Map(), reachable: true }, 0)
    clock.time = millis(6_000)
    state.control.headReadAt = clock.time
    closers.push(async () => { await runtime.stop() }, () => { peers.close() })
    return { runtime, handler, clock, waiter }
  }

  async function listen ({ runtime, handler }: ReturnType<typeof start>): Promise<Address> {
    const server = createControlServer([createHealthRoutes({ runtime, handler })])
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    closers.push(async () => { await new Promise((resolve) => server.close(resolve)) })
    return toId<Address>(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  }

  function call (type: 'askPermit' | 'releasePermit', address: Address, endpoint: EndpointId): RuntimeEffect {
    return {
      slice: 'health', type, owner: makeTrafficIds(0).node, address, service: toId('stock'), endpoint, askedAt: millis(6_000)
    }
  }

  const granted: Partial<EventBody> = { type: 'permitAnswered', answer: { kind: 'granted', lifetime: millis(5_000) } }
  const denied: Partial<EventBody> = { type: 'permitAnswered', answer: { kind: 'denied', reason: 'floor' } }

  // Guards against permits that are lost or altered by the encoding.
  it('grants, denies and releases permits over the control port and locally', async () => {
    const [owner, holder] = [start(0), start(1)]
    const address = await listen(owner)
    const answers = [holder.waiter.next('permitAnswered'), owner.waiter.next('permitAnswered')] as const
    holder.handler.run(call('askPermit', address, makeTrafficIds(1).endpoint))
    expect(await answers[0]).toMatchObject(granted)
    // One of the two endpoints must stay in service. The owner asks itself, so the address is not used.
    owner.handler.run(call('askPermit', toId('127.0.0.1:1'), makeTrafficIds(0).endpoint))
    expect(await answers[1]).toMatchObject(denied)
    const released = owner.waiter.next('permitReleased')
    holder.handler.run(call('releasePermit', address, makeTrafficIds(1).endpoint))
    await released
    const answer = owner.waiter.next('permitAnswered')
    owner.handler.run(call('askPermit', toId('127.0.0.1:1'), makeTrafficIds(0).endpoint))
    expect(await answer).toMatchObject(granted)
  })

  // Guards against an ejection that waits indefinitely for an unreachable owner.
  it('reports an owner that does not answer', async () => {
    const holder = start(1)
    const unanswered = holder.waiter.next('permitUnanswered')
    holder.handler.run(call('askPermit', toId('127.0.0.1:1'), makeTrafficIds(1).endpoint))
    expect(await unanswered).toMatchObject({ endpoint: makeTrafficIds(1).endpoint, askedAt: 6_000 })
  })
})
