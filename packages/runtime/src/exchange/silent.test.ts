import {
  TestResources, makeBytes, sendRequest, startTcpRelay, startTestPath, type TcpRelay, TEST_KEY, waitUntil
} from '@lavenderturn/fixtures/runtime'
import { makeBackendConfig, startBackendServer } from '@lavenderturn/standin-backend-server'
import { type Address, toId } from '@lavenderturn/types'
import { request } from 'node:http'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'

/** Short delays keep the tests fast; the result depends only on the probe. */
const FAST_CHECKS = { initialCheckDelayMs: 20, idleRecheckDelayMs: 20 }

describe('silently broken connections', () => {
  let resources: TestResources
  beforeEach(() => { resources = new TestResources() })
  afterEach(async () => { await resources.close() })

  async function startBackend (options: Parameters<typeof makeBackendConfig>[0] = {}) {
    const server = await startBackendServer({ config: makeBackendConfig(options) })
    resources.add(async () => { await server.close() })
    return { server, address: toId<Address>(server.address) }
  }

  async function startFrozenPath (repeatable: boolean) {
    const { server, address } = await startBackend()
    let relay: TcpRelay | undefined
    const path = await startTestPath(resources, {
      backends: [address],
      route: { repeatable },
      relay: async (target) => {
        relay = await startTcpRelay(resources, target)
        return relay.address
      },
      gatewayOptions: { pathProgress: { silenceTimeoutMs: Infinity, ...FAST_CHECKS } }
    })
    expect((await sendRequest(path.callerAddress)).status).toBe(200)
    return { ...path, server, relay: relay! }
  }

  it('between nodes are reported as a failure of the path, and the next request uses a new connection', async () => {
    const { callerAddress, gatewayEvents, relay } = await startFrozenPath(false)
    relay.freeze()
    const answer = await sendRequest(callerAddress, { method: 'POST' })
    expect(answer.json).toMatchObject({ code: 1502, run: 'unknown' })
    expect(gatewayEvents.list('forwardFailed')[0]).toMatchObject({ reason: 'silent', sent: true })
    expect((await sendRequest(callerAddress)).status).toBe(200)
  })

  it('abort an upload in progress, which does not run', async () => {
    const { callerAddress, gatewayEvents, relay, server } = await startFrozenPath(false)
    relay.freezeAfterBytes = 500_000
    const { bytes } = makeBytes(8_000_000)
    const answer = await sendRequest(callerAddress, { method: 'POST', body: bytes })
    expect(answer.status).toBe(502)
    expect(gatewayEvents.list('forwardFailed').at(-1)).toMatchObject({ reason: 'silent', replayable: false })
    expect(server.state.runs).toBe(1)
  })

  it('abort a long answer in progress, so that the caller detects that it is incomplete', async () => {
    const { callerAddress, gatewayEvents, relay } = await startFrozenPath(true)
    const answer = sendRequest(callerAddress, { path: '/stock?bytes=40000000' })
    answer.catch(() => {})
    await waitUntil(() => gatewayEvents.list('forwardAnswered').length === 2, 'the answer begins')
    relay.freeze()
    await expect(answer).rejects.toThrow(/aborted|hang up|reset/i)
    expect(gatewayEvents.list('answerEnded').at(-1)).toMatchObject({ complete: false })
  })

  it('to a backend server are detected by a probe, and a repeatable request is retried on another endpoint', async () => {
    const silent = await startBackend({ modes: { silentRate: 1 } })
    const sound = await startBackend()
    const { callerAddress, admissionEvents, gatewayEvents } = await startTestPath(resources, {
      backends: [silent.address, sound.address],
      admissionOptions: { backendProgress: { silenceTimeoutMs: 100, ...FAST_CHECKS } }
    })
    for (let count = 0; count < 6; count++) expect((await sendRequest(callerAddress)).status).toBe(200)
    const failed = admissionEvents.list('workEnded').filter(({ outcome }) => outcome.kind === 'failed')
    expect(failed[0]?.outcome).toMatchObject({ reason: 'silent' })
    // No failure of the path to the other node is reported.
    expect(gatewayEvents.list('forwardFailed')).toHaveLength(0)
    expect(gatewayEvents.list('forwardRefused')[0]).toMatchObject({ result: 'outcomeUnknown', replayable: true })
  })

  it('are distinguished from a slow request, which is not aborted', async () => {
    const { address } = await startBackend({ serviceTimeMs: 400 })
    const { callerAddress, gatewayEvents } = await startTestPath(resources, {
      backends: [address],
      route: { repeatable: false },
      gatewayOptions: { pathProgress: { silenceTimeoutMs: Infinity, ...FAST_CHECKS } }
    })
    expect((await sendRequest(callerAddress, { method: 'POST' })).status).toBe(200)
    expect(gatewayEvents.list('forwardFailed')).toHaveLength(0)
  })

  it('are distinguished from a caller that reads slowly', async () => {
    const { address } = await startBackend()
    const { callerAddress, gatewayEvents } = await startTestPath(resources, {
      backends: [address],
      gatewayOptions: { pathProgress: { silenceTimeoutMs: Infinity, ...FAST_CHECKS } },
      admissionOptions: { backendProgress: { silenceTimeoutMs: 50, ...FAST_CHECKS } }
    })
    const [host, port] = callerAddress.split(':')
    const size = 30_000_000
    let received = 0
    await new Promise<void>((resolve, reject) => {
      const headers = { authorization: `Bearer ${TEST_KEY}` }
      request({ host, port, path: `/stock?bytes=${size}`, headers }, (res) => {
        res.once('data', () => {
          res.pause()
          // Long enough for many checks of the progress monitor.
          setTimeout(() => { res.resume() }, 600)
        })
        res.on('data', (chunk: Buffer) => { received += chunk.length })
        res.on('end', resolve).on('error', reject)
      }).on('error', reject).end()
    })
    expect(received).toBe(size)
    await waitUntil(() => gatewayEvents.list('answerEnded').length === 1)
    expect(gatewayEvents.list('answerEnded')[0]).toMatchObject({ complete: true })
  })
})
