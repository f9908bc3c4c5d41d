// An endpoint hands out wrong bytes: some answers begin with the status 101. A client must get a valid answer.
import { Endpoint, HOST, Machine, makeConfiguration, pause, Store, Trial, waitUntilReady } from '../lib/harness.mjs'
import net from 'node:net'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'

/** One answer of this many is spoilt: 2 in 100. */
const SPOILT_EVERY = 50
const RUN_MS = 20_000
const DEADLINE_MS = 4_000
const CLIENTS = 8

const trial = new Trial(dirname(fileURLToPath(import.meta.url)))
const store = new Store(trial)
await store.start()
store.put('op', 'config', makeConfiguration({
  rules: [{ name: 'order', kind: 'unsafe', prefix: '/order/', service: 'orders' }], services: [{ name: 'orders' }]
}))
const machines = ['a', 'b'].map((name) => {
  return new Machine(trial, store, { name: `machine-${name}`, zone: `zone-${name}`, service: 'orders' })
})
for (const machine of machines) await machine.start()
await waitUntilReady(trial, machines)
const spoil = (answer, number) => {
  return trial.hasTrouble && number % SPOILT_EVERY === 0 ? answer.replace('HTTP/1.1 200 OK', 'HTTP/1.1 101 OK') : answer
}
const endpoints = machines.map((machine, index) => {
  return new Endpoint(trial, machine, { id: `endpoint-${machine.name}`, workMs: 100, spoil: index === 0 ? spoil : undefined })
})
for (const endpoint of endpoints) await endpoint.start()
await pause(2_000)

/** Sends one request on a new connection, and returns all bytes until the answer is whole or the time is up. */
async function send (id) {
  return await new Promise((resolve) => {
    let received = ''
    const socket = net.connect(machines[0].caller, HOST)
    const end = () => {
      clearTimeout(timer)
      socket.destroy()
      resolve(received)
    }
    const timer = setTimeout(end, DEADLINE_MS + 500)
    socket.on('error', end)
    socket.on('close', end)
    socket.on('data', (data) => {
      received += data.toString('latin1')
      const final = /(?:^|\r\n\r\n)HTTP\/1\.1 [2-5]\d\d [^]*?\r\ncontent-length: (\d+)\r\n[^]*?\r\n\r\n([^]*)$/i.exec(received)
      if (final !== null && final[2].length >= Number(final[1])) end()
    })
    socket.write([
      'POST /order/x HTTP/1.1', 'Host: desk.example', `X-Request-Id: ${id}`, `X-Deadline-Ms: ${DEADLINE_MS}`, 'Content-Length: 0', '', ''
    ].join('\r\n'))
  })
}

const counts = {}
let noAnswer = 0
const until = trial.now() + RUN_MS
await Promise.all(Array.from({ length: CLIENTS }, async (_, client) => {
  for (let number = 1; trial.now() < until; number++) {
    const id = `c${client}-${number}`
    const sentAt = trial.now()
    const received = await send(id)
    const status = /^HTTP\/1\.1 (\d+) /.exec(received)?.[1] ?? 'none'
    counts[status] = (counts[status] ?? 0) + 1
    trial.note('request', { id, status, ms: Math.round(trial.now() - sentAt) })
    if (status === '101') {
      noAnswer += 1
      trial.note('no answer', { request: id, received: JSON.stringify(received) })
    }
    await pause(50)
  }
}))
if ((counts[200] ?? 0) < 100) trial.finish(2, `too few answers: ${JSON.stringify(counts)}`)
trial.finish(noAnswer > 0 ? 1 : 0, `${noAnswer} clients got the bytes of an answer 101 and no final one; first statuses ${JSON.stringify(counts)}`)
