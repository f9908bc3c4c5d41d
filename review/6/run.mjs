// A machine freezes while a client is sending the head of a request behind an upload that has not been answered yet.
import { connect } from 'node:net'
import { createId } from '../lib-2/client.mjs'
import { Deployment, pause } from '../lib-2/deployment.mjs'
import { LOOPBACK } from '../lib-2/loopback.mjs'
import { isTrouble, runCase } from '../lib-2/runCase.mjs'

const SERVICES = ['stock-ledger', 'intake-hub']
const HOST = 'pantry.example'
const FIRST_WORK_MS = 250
/** `node_freeze` of the sites lasts 4.0 s at most. */
const FREEZE_MS = 3_500
/** The client takes this long for the head of the second request; the limit `header_timeout` is 3 s. */
const HEAD_MS = 600
const DEADLINE_MS = 5_000
/** Statuses that promise that a request has not run. */
const NOT_RUN = new Set(['408', '421', '429', '503'])
/** The first request of each try; only the uploads, which may not be repeated, are judged. */
const FIRST_REQUESTS = ['upload', 'upload', 'upload', 'lookup']

const makeRule = (name, kind, service) => ({
  name,
  kind,
  target_latency: '1035ms',
  priority: 1,
  public: false,
  match: { prefix: `/${name}/` },
  action: { service, timeout: '5125ms', max_attempts: 2 }
})

const configuration = {
  version: 'r7',
  limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout: '3000ms', idle_timeout: '15000ms' },
  tenants: [{ name: 'tamale', api_keys: ['key-tamale'], priority: 1, rate_per_s: 79, burst: 79 }],
  listeners: [{
    host: HOST, rules: [makeRule('check', 'safe', 'stock-ledger'), makeRule('manifest', 'upload', 'intake-hub')]
  }],
  clusters: SERVICES.map((name) => ({ name, health_path: '/healthz', max_connections: 1_230 }))
}

function composeHead ({ method, path, id, length }) {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Request-Id: ${id}`,
    `X-Deadline-Ms: ${DEADLINE_MS}`,
    'X-Key: key-tamale',
    ...length === undefined ? [] : [`Content-Length: ${length}`]
  ]
  return `${lines.join('\r\n')}\r\n\r\n`
}

await runCase(new URL('record.txt', import.meta.url), async (write, onStop) => {
  const zones = ['accra-tema', 'kumasi', 'takoradi']
  const deployment = await Deployment.start({
    machines: [
      { zone: zones[0], service: 'stock-ledger' },
      { zone: zones[1], service: 'intake-hub' },
      { zone: zones[2], service: 'intake-hub' }
    ],
    configuration,
    workMs: ({ url }) => url.startsWith('/check/first') || url.startsWith('/manifest/') ? FIRST_WORK_MS : 60,
    onStop
  })
  const [front] = deployment.machines
  let isBroken = false
  for (const [attempt, kind] of FIRST_REQUESTS.entries()) {
    const first = kind === 'upload'
      ? { method: 'POST', path: `/manifest/${attempt}`, id: createId(), length: 3_000 }
      : { method: 'GET', path: `/check/first-${attempt}`, id: createId() }
    const check = { method: 'GET', path: `/check/${attempt}`, id: createId() }
    const socket = connect(front.ports.caller, LOOPBACK)
    const connection = { received: '', isClosed: false }
    socket.on('data', (data) => { connection.received += data.toString() })
    socket.on('error', (err) => { write(`connection: ${err.message}`) })
    socket.on('close', () => { connection.isClosed = true })
    const head = composeHead(check)
    socket.write(composeHead(first) + 'm'.repeat(first.length ?? 0) + head.slice(0, 40))
    const sentAt = performance.now()
    write(`sent ${kind} ${first.id} whole, and behind it the first bytes of the head of ${check.id}`)
    const findRun = (id) => deployment.runs.find((run) => run.id === id)
    while (findRun(first.id) === undefined && performance.now() - sentAt < 2_000) await pause(5)
    write(`endpoint began to work on ${first.id}: ${findRun(first.id) !== undefined}`)
    if (isTrouble) {
      front.signal('SIGSTOP')
      write(`${front.name} freezes`)
    }
    await pause(HEAD_MS)
    socket.write(head.slice(40))
    write(`sent the rest of the head of ${check.id}`)
    await pause(FREEZE_MS - HEAD_MS)
    if (isTrouble) {
      front.signal('SIGCONT')
      write(`${front.name} wakes`)
    }
    const countAnswers = () => (connection.received.match(/^answer to /gm) ?? []).length
    while (!connection.isClosed && countAnswers() < 2 && performance.now() - sentAt < 6_000) await pause(20)
    const { received, isClosed } = connection
    const status = /^HTTP\/1\.1 (\d+)/.exec(received)?.[1]
    const run = findRun(first.id)
    write(`received: ${JSON.stringify(received)}; connection closed: ${isClosed}`)
    write(`first answer on the connection, which is that to ${first.id}: ${status}; its run: ${run?.outcome}`)
    if (kind === 'upload' && run !== undefined && NOT_RUN.has(status)) isBroken = true
    socket.destroy()
    await pause(3_500)
  }
  return isBroken
})
