// A node is stopped as planned while the endpoints are busy. Its last requests run at endpoints of other machines.
import { Client, Endpoint, Machine, makeConfiguration, pause, Store, Trial, waitUntilReady } from '../lib/harness.mjs'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'

const GRACE_MS = 6_000
/** In the last sixth of the grace a request may be broken off. */
const EXCUSED_FROM_MS = GRACE_MS * 5 / 6
/** The clients of a machine send nothing new after two missed readiness checks, which come once a second. */
const CLIENTS_STOP_MS = 2_000
const USUAL_WORK_MS = 570
const LONG_WORK_MS = 2_400
const DEADLINE_MS = 6_000

const trial = new Trial(dirname(fileURLToPath(import.meta.url)))
const store = new Store(trial)
await store.start()
store.put('op', 'config', makeConfiguration({
  rules: [{ name: 'info', kind: 'safe', prefix: '/info/', service: 'info', timeout: `${DEADLINE_MS}ms` }],
  services: [{ name: 'info' }, { name: 'front' }]
}))
const places = [['a', 'front'], ['b', 'info'], ['c', 'info']]
const machines = places.map(([name, service]) => new Machine(trial, store, { name: `machine-${name}`, zone: 'zone-a', service }))
for (const machine of machines) await machine.start()
await waitUntilReady(trial, machines)
const workMs = ({ path }) => path === '/info/report' ? LONG_WORK_MS : USUAL_WORK_MS
const endpoints = machines.slice(1).map((machine) => new Endpoint(trial, machine, { id: `endpoint-${machine.name}`, workMs }))
for (const endpoint of endpoints) await endpoint.start()
await pause(2_000)

const [stopped, ...others] = machines
const startedAt = trial.now()
const stopAt = startedAt + 8_000
const endAt = stopAt + GRACE_MS
const makeClients = (count, machine, name, path) => Array.from({ length: count }, (_, index) => {
  return new Client(trial, machine, { name: `${name}${index}-`, path, deadlineMs: DEADLINE_MS })
})
const load = others.flatMap((machine, index) => makeClients(10, machine, `load${index}-`, '/info/x'))
const short = makeClients(10, stopped, 'short', '/info/x')
const long = makeClients(6, stopped, 'long', '/info/report')
const watched = [...short, ...long]
const running = [
  ...load.map(async (client) => { await client.run({ untilMs: endAt, pauseMs: 20 }) }),
  ...short.map(async (client) => { await client.run({ untilMs: stopAt + CLIENTS_STOP_MS, pauseMs: 20 }) }),
  ...long.map(async (client, index) => {
    await pause(stopAt + CLIENTS_STOP_MS - 150 * (index + 1) - trial.now())
    await client.send()
  })
]
await pause(stopAt - trial.now())
if (trial.hasTrouble) stopped.kill('SIGTERM')
await Promise.all(running)

// When the last run of a request was cut.
const cuts = new Map()
for (const [id, cutAt] of endpoints.flatMap((endpoint) => [...endpoint.cuts])) {
  cuts.set(id, Math.max(cutAt, cuts.get(id) ?? 0))
}
const results = watched.flatMap((client) => client.results)
const brokenOff = results.filter(({ id, stamp, end, endedAt, sentAt }) => {
  const cutAt = cuts.get(id)
  const isWhole = end === 'answered' && stamp !== undefined
  if (!trial.hasTrouble || isWhole || cutAt === undefined || endedAt - sentAt >= DEADLINE_MS) return false
  return cutAt > stopAt && cutAt < stopAt + EXCUSED_FROM_MS
})
for (const { id, status, endedAt } of brokenOff) {
  const [cut, answered] = [cuts.get(id), endedAt].map((at) => `${Math.round(at - stopAt)}ms`)
  trial.note('broken off', { request: id, status, cut, answered })
}
const counts = {}
for (const { end, status = end } of results) counts[status] = (counts[status] ?? 0) + 1
if ((counts[200] ?? 0) < 30) trial.finish(2, `too few answers: ${JSON.stringify(counts)}`)
trial.finish(brokenOff.length > 0 ? 1 : 0, `${brokenOff.length} requests of the stopped node were broken off while their endpoints were at ` +
  `work, and got an answer of its own; ${JSON.stringify(counts)}; runs cut ${cuts.size}`)
