import { makeMeshIdentity, makeMeshState } from '@lavenderturn/fixtures/mesh'
import type { MeshEffect, ReservationId } from '@lavenderturn/mesh'
import { BodyBuffer, createLogger } from '@lavenderturn/runtime'
import { type RequestId, toId } from '@lavenderturn/types'
import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { text as readText } from 'node:stream/consumers'
import { afterEach, describe, expect, it } from 'vitest'
import { AdmissionHandler } from './admission/AdmissionHandler'
import { TextBody } from './fixtures/TextBody'
import { makeRequestProtocol } from './fixtures/makeRequestProtocol'
import { GatewayHandler } from './gateway/GatewayHandler'
import { MemoryAccount } from './memory/MemoryAccount'
import { MeshEffectHandler, MeshRuntime } from './MeshRuntime'
import type { Answer } from './protocol/RequestHead'

const SLICES = ['announcement', 'configuration', 'directory', 'lifecycle', 'log', 'peer', 'timer'] as const

/** Throws on its first effect and records the others. */
class FailingHandler extends MeshEffectHandler {
  override readonly slices = SLICES
  readonly ran: MeshEffect[] = []
  failed: MeshEffect | undefined

  override run (effect: MeshEffect): void {
    if (this.failed !== undefined) {
      this.ran.push(effect)
      return
    }
    this.failed = effect
    throw new Error('the effect failed')
  }
}

class RecoveringHandler extends FailingHandler {
  readonly handled: unknown[] = []

  override handleError (effect: MeshEffect, err: unknown): void {
    this.handled.push(effect, err)
  }
}

const closers: Array<() => void> = []

afterEach(() => { for (const close of closers.splice(0)) close() })

function startRuntime (handler?: MeshEffectHandler): MeshRuntime {
  const runtime = new MeshRuntime({ state: makeMeshState() })
  if (handler !== undefined) runtime.addHandler(handler)
  closers.push(() => { runtime.stop() })
  return runtime
}

describe('an effect that fails', () => {
  // Guards against one request whose error leaves the effects of others undone.
  it('does not keep the other effects of the step from running if its handler handles the error', () => {
    const handler = new RecoveringHandler()
    startRuntime(handler).dispatch({ slice: 'directory', type: 'nodeStarted' })
    expect(handler.handled).toEqual([handler.failed, new Error('the effect failed')])
    expect(handler.ran.length).toBeGreaterThan(0)
  })

  // Guards against a process that continues although it does not know what is left undone.
  it('throws by default', () => {
    const runtime = startRuntime(new FailingHandler())
    expect(() => { runtime.dispatch({ slice: 'directory', type: 'nodeStarted' }) }).toThrow('the effect failed')
  })
})

async function startExchange (): Promise<{ readonly res: ServerResponse, readonly response: Promise<Response> }> {
  const server = createServer().listen(0, '127.0.0.1')
  closers.push(() => { server.close() })
  await once(server, 'listening')
  const response = fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`)
  const [, res] = await once(server, 'request') as [unknown, ServerResponse]
  return { res, response }
}

interface RelayFixture {
  readonly gateway: GatewayHandler
  readonly response: Promise<Response>
  readonly effect: Extract<MeshEffect, { readonly type: 'relay' }>
  readonly lines: readonly string[]
}

/** Makes the exchange of a caller whose answer is about to be relayed. */
async function startRelay (answer: Answer): Promise<RelayFixture> {
  const runtime = startRuntime()
  const protocol = makeRequestProtocol()
  const lines: string[] = []
  const log = createLogger({ format: 'json', level: 'debug', write: (line) => { lines.push(line) } })
  const account = new MemoryAccount({ runtime, log })
  const admission = new AdmissionHandler({ runtime, protocol, account, log })
  const gateway = new GatewayHandler({ runtime, protocol, identity: makeMeshIdentity(), admission, account, log })
  closers.push(() => { gateway.stop() }, () => { admission.stop() })
  const { res, response } = await startExchange()
  const reservation = toId<ReservationId>('r1')
  const requestId = toId<RequestId>('q1')
  gateway.registerExchange({
    requestId,
    callerRequestId: 'c1',
    fingerprint: toId('f'),
    head: { method: 'GET', target: '/', headers: [] },
    body: new BodyBuffer(),
    res,
    attempts: new Map(),
    responses: new Map([[reservation, answer]])
  })
  return { gateway, response, effect: { slice: 'gateway', type: 'relay', requestId, reservation }, lines }
}

// Guards against a response that cannot be written, for example with an invalid status, and ends the process with it.
it('a response that cannot be written ends its request with an unknown outcome', async () => {
  const { gateway, response, effect, lines } = await startRelay({ status: 0, headers: [], body: new TextBody('ran') })
  expect(() => { gateway.run(effect) }).toThrow(RangeError)
  gateway.handleError(effect, new RangeError('invalid status'))
  const answer = await response
  expect(answer.status).toBe(502)
  expect(await readText(answer.body!)).toBe('outcomeUnknown')
  expect(lines.some((line) => line.includes('"request":"c1"') && line.includes('invalid status'))).toBe(true)
})

// Guards against a head without the body that it announces, after the body was given up because memory was short.
it('a response that was given up ends its request with an unknown outcome', async () => {
  const body = new TextBody('ran', { canSend: false })
  const { gateway, response, effect } = await startRelay({ status: 500, headers: [], body })
  gateway.run(effect)
  const answer = await response
  expect(answer.status).toBe(502)
  expect(await readText(answer.body!)).toBe('outcomeUnknown')
})
