// A deployment with requests of which one crashes each endpoint that begins to run it.
import { setTimeout as pause } from 'node:timers/promises'
import { makeConfiguration, makeRule, STABLE_WINDOW_MS } from './fleet.mjs'
import { startEndpoint } from './endpoint.mjs'
import { startStore } from './store.mjs'

export const KEY = 'k-ward-office-1'
export const POISON_PATH = '/stock/item-13'

const ZONES = ['zone-a', 'zone-b', 'zone-c']

/** Retries that the rule allows after the third crash. */
const ALLOWED_RETRIES = 3

/**
 * Starts three nodes in three zones, each beside an endpoint of the same service.
 *
 * @param fleet the fleet
 * @param record the record
 * @param options how the poisonous request crashes an endpoint, and after how long the endpoint is back
 */
export async function startPoisonFleet (fleet, record, { crash, backAfterMs }) {
  const store = await startStore()
  fleet.closers.push(() => { store.stop() })
  store.put('op', 'config', makeConfiguration({
    tenants: [{ name: 'ward-office', api_keys: [KEY], priority: 1, rate_per_s: 0, burst: 0 }],
    services: [{ name: 'stock', coldPerSecond: 51 }],
    rules: [makeRule({ name: 'lookup', kind: 'safe', prefix: '/stock/', service: 'stock' })]
  }))
  const nodes = []
  const crashes = []
  const runs = []
  for (const zone of ZONES) {
    const { address } = await store.open()
    nodes.push(await fleet.startNode({ name: `node-${zone}`, zone, service: 'stock', storeAddress: address }))
  }
  const endpoints = []
  for (const [index, node] of nodes.entries()) {
    const endpoint = await startEndpoint({
      name: `endpoint-${index + 1}`,
      service: 'stock',
      zone: ZONES[index],
      control: node.control,
      slots: 6,
      workMs: 110,
      coldStartMs: 3_000,
      onRun (run) {
        if (run.req.url !== POISON_PATH) return false
        const at = performance.now()
        runs.push({ at, endpoint: endpoint.id(), requestId: run.requestId })
        record.say(`the poisonous request ${run.requestId} reached ${endpoint.id()}`)
        return crash({
          ...run,
          end () {
            if (!endpoint.isUp) return
            crashes.push({ at: performance.now(), endpoint: endpoint.id() })
            record.say(`${endpoint.id()} crashed, the ${crashes.length}. time that an endpoint does`)
            endpoint.crash()
            setTimeout(() => {
              endpoint.start().catch((err) => { record.add(`${endpoint.name} did not start: ${err.message}`) })
            }, backAfterMs)
          }
        })
      }
    })
    endpoints.push(endpoint)
    fleet.closers.push(() => { endpoint.stop() })
  }
  for (const node of nodes) await node.waitUntilReady()
  await pause(2_500)
  return {
    nodes,
    endpoints,
    async sendPoison (node) {
      record.say(`a client sends the poisonous request at ${node.name}`)
      const sent = { path: POISON_PATH, key: KEY, deadlineMs: 4_000 }
      const { requestId, status, elapsedMs } = await fleet.send(node, sent)
      record.say(`${requestId} was answered ${status} after ${Math.round(elapsedMs)} ms`)
    },
    /** Sends ordinary lookups at all nodes until the returned function is called. */
    startLookups () {
      const counts = new Map()
      let next = 0
      const timer = setInterval(() => {
        const node = nodes[next++ % nodes.length]
        fleet.send(node, { path: `/stock/item-${1_000 + next}`, key: KEY, deadlineMs: 4_000 }).then(({ status }) => {
          counts.set(status, (counts.get(status) ?? 0) + 1)
        })
      }, 50)
      const stop = () => { clearInterval(timer) }
      fleet.closers.push(stop)
      return () => {
        stop()
        const text = [...counts].map(([status, count]) => `${count} x ${status}`).join(', ')
        record.say(`ordinary lookups (0: no answer): ${text}`)
      }
    },
    /** BUDGET: not more than three retries later than `stable_window` after the third crash. */
    judge () {
      record.say(`${runs.length} runs of the poisonous request, ${crashes.length} crashes`)
      if (crashes.length < 3) return undefined
      const from = crashes[2].at + STABLE_WINDOW_MS
      const late = runs.filter(({ at }) => at > from)
      record.say(`${late.length} runs began later than stable_window after the third crash`)
      if (late.length <= ALLOWED_RETRIES) return undefined
      return `the request that crashes endpoints reached endpoints ${late.length} times later than 3 s after it had ` +
        'crashed the third (3 allowed)'
    }
  }
}
