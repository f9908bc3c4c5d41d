import { TestResources, sendRequest, startTestPath, TEST_KEY, waitUntil } from '@lavenderturn/fixtures/runtime'
import { makeBackendConfig, startBackendServer } from '@lavenderturn/standin-backend-server'
import { toId } from '@lavenderturn/types'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'

describe('the admin port', () => {
  let resources: TestResources
  beforeEach(() => { resources = new TestResources() })
  afterEach(async () => { await resources.close() })

  async function start () {
    const server = await startBackendServer({ config: makeBackendConfig() })
    resources.add(async () => { await server.close() })
    const path = await startTestPath(resources, { backends: [toId(server.address)] })
    return {
      ...path,
      gatewayAdmin: await resources.listen(path.gatewayNode.adminServer),
      admissionAdmin: await resources.listen(path.admissionNode.adminServer)
    }
  }

  it('accepts announcements of backend servers, and lists them in /status', async () => {
    const { admissionAdmin, admissionNode } = await start()
    const server = await startBackendServer({
      config: makeBackendConfig({ service: 'photos', slots: 7 }), adminAddress: admissionAdmin
    })
    resources.add(async () => { await server.close() })
    await waitUntil(() => admissionNode.runtime.query(({ admission }) => admission.servers.size) === 2, 'announced')
    const { json } = await sendRequest(admissionAdmin, { path: '/status' })
    expect(json.backendServers).toContainEqual(expect.objectContaining({ service: 'photos', slots: 7, state: 'serving' }))
    server.dispatch({ type: 'drainCommanded' })
    await waitUntil(() => {
      return admissionNode.runtime.query(({ admission }) => [...admission.servers.values()].at(-1)?.state) === 'draining'
    }, 'draining')
  })

  it.each([
    ['{}'],
    ['nonsense'],
    ['{"service":"a","address":"a:99999","slots":1,"bootId":"b","state":"serving"}'],
    ['{"service":"a","address":"a","slots":1,"bootId":"b","state":"serving"}']
  ])(
    'refuses a malformed announcement: %s', async (text) => {
      const { admissionAdmin, admissionNode } = await start()
      const answer = await sendRequest(admissionAdmin, { method: 'POST', path: '/announce', body: Buffer.from(text) })
      expect(answer.json).toMatchObject({ code: 1400 })
      expect(admissionNode.runtime.query(({ admission }) => admission.servers.size)).toBe(1)
    }
  )

  it('counts events, effects, results and durations, and exposes no key', async () => {
    const { callerAddress, gatewayAdmin, admissionAdmin } = await start()
    await sendRequest(callerAddress)
    await sendRequest(callerAddress, { path: '/elsewhere' })
    await sendRequest(callerAddress, { path: `/stock?key=${TEST_KEY}` })
    const metrics = (await sendRequest(gatewayAdmin, { path: '/metrics' })).body.toString()
    expect(metrics).toContain('lavenderturn_events_total{slice="gateway",type="requestArrived"} 3')
    expect(metrics).toContain('lavenderturn_effects_total{slice="gateway",type="forward"} 1')
    expect(metrics).toContain('lavenderturn_results_total{code="1404",result="unknownRoute",run="not-run"} 1')
    expect(metrics).toContain('lavenderturn_request_seconds_count{outcome="answered"} 1')
    const admission = (await sendRequest(admissionAdmin, { path: '/metrics' })).body.toString()
    expect(admission).toContain('lavenderturn_work_seconds_count{outcome="answered"} 1')
    const texts = await Promise.all(['/metrics', '/timeline', '/status'].map(async (path) => {
      return (await sendRequest(gatewayAdmin, { path })).body.toString()
    }))
    expect(texts.join()).not.toContain(TEST_KEY)
  })

  it('serves journals whose times order causes before effects across nodes', async () => {
    const { callerAddress, gatewayAdmin, admissionAdmin } = await start()
    const { headers } = await sendRequest(callerAddress)
    const read = async (address: string) => (await sendRequest(address, { path: '/timeline' })).json
    const [gateway, admission] = [await read(gatewayAdmin), await read(admissionAdmin)]
    const find = (page: any, name: string) => page.records.find((record: any) => record.name === name)
    const order = [
      find(gateway, 'gateway/requestArrived'), find(gateway, 'gateway/forward'), find(admission, 'admission/workArrived'),
      find(admission, 'admission/dispatch'), find(gateway, 'gateway/forwardAnswered'), find(gateway, 'gateway/answerEnded')
    ].map(({ time }) => time.wallMs * 1_000 + time.counter)
    expect(order).toEqual([...order].sort((a, b) => a - b))
    expect(find(gateway, 'gateway/answerEnded').request).toBe(headers['lavenderturn-request'])
    const rest = (await sendRequest(gatewayAdmin, { path: `/timeline?after=${gateway.nextSeq - 2}` })).json
    expect(rest.records).toHaveLength(1)
  })
})
