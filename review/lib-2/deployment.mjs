/**
 * Starts a small deployment on loopback addresses: the project's program with the command of the deploy file, one
 * process beside each endpoint, and the stand-ins of the store and the endpoints in this process.
 */
import { spawn } from 'node:child_process'
import { createSocket } from 'node:dgram'
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Endpoint } from './endpoint.mjs'
import { LOOPBACK } from './loopback.mjs'
import { Store } from './store.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))

/** As `run` in deploy/system.toml. */
const COMMAND = [
  '--max-old-space-size=160', '--expose-gc', '--max-semi-space-size=4', 'target/lavenderturn-platform.mjs'
]

/** Bounds of the small sites, as deploy/settings.template renders them. */
const BOUNDS = {
  revoke: '5000ms',
  grace: '6s',
  coldOver: 1.5,
  coldSlack: 5,
  retryRatio: 0.2,
  retrySlack: 60,
  exposeShare: null,
  exposeSlack: null,
  rollback: null
}

export const pause = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Ports below those that a system gives to outgoing connections, so that none takes the port of a stopped process. */
const PORTS = { first: 12_000, last: 31_000 }

const usedPorts = new Set()

function drawPort () {
  for (;;) {
    const port = PORTS.first + Math.floor(Math.random() * (PORTS.last - PORTS.first))
    if (usedPorts.has(port)) continue
    usedPorts.add(port)
    return port
  }
}

async function findTcpPort () {
  for (;;) {
    const port = drawPort()
    const server = createServer()
    const isFree = await new Promise((resolve) => {
      server.once('error', () => { resolve(false) })
      server.listen(port, LOOPBACK, () => { resolve(true) })
    })
    if (!isFree) continue
    await new Promise((resolve) => { server.close(resolve) })
    return port
  }
}

async function findUdpPort () {
  for (;;) {
    const port = drawPort()
    const socket = createSocket('udp4')
    const isFree = await new Promise((resolve) => {
      socket.once('error', () => { resolve(false) })
      socket.bind(port, LOOPBACK, () => { resolve(true) })
    })
    await new Promise((resolve) => { socket.close(resolve) })
    if (isFree) return port
  }
}

/** One machine: a process of the project and the endpoint beside it. */
class Machine {
  constructor (options) {
    Object.assign(this, options)
  }

  /** Starts the process. */
  start () {
    const log = openSync(join(this.folder, `${this.name}.log`), 'a')
    this.child = spawn(process.execPath, COMMAND, {
      cwd: ROOT, env: { PATH: process.env.PATH, LAVENDERTURN_CONFIG: this.settingsPath }, stdio: ['ignore', log, log]
    })
    closeSync(log)
    const { child } = this
    this.ended = new Promise((resolve) => { child.once('exit', (code, signal) => { resolve({ code, signal }) }) })
  }

  /** @param {string} signal - sent to the process */
  signal (signal) {
    this.child.kill(signal)
  }

  /** @returns {Promise<boolean>} whether the readiness check is answered with 200 */
  async isReady () {
    return await new Promise((resolve) => {
      const call = request({ host: LOOPBACK, port: this.ports.ready, path: '/lavenderturn/readyz', agent: false })
      call.setTimeout(900, () => { call.destroy() })
      call.on('response', (res) => {
        res.resume()
        resolve(res.statusCode === 200)
      })
      call.on('error', () => { resolve(false) })
      call.end()
    })
  }
}

/** A deployment of a few machines. */
export class Deployment {
  store = new Store()
  machines = []
  runs = []
  #folder = mkdtempSync(join(tmpdir(), 'review-'))

  /**
   * @param {object} options - the machines and the configuration
   * @param {Array<{ zone: string, service: string }>} options.machines - one for each endpoint
   * @param {object} options.configuration - the first configuration, written before the processes start
   * @param {(run: object) => number} [options.workMs] - how long a request takes at its endpoint
   * @param {(stop: () => void) => void} options.onStop - takes what ends all that is started
   */
  static async start ({ machines, configuration, workMs, onStop, endpoint = {} }) {
    const deployment = new Deployment()
    onStop(() => { deployment.stop() })
    const storeAddress = await deployment.store.open()
    deployment.store.put('op', 'config', configuration)
    for (const [index, { zone, service, name = `node-${index + 1}` }] of machines.entries()) {
      await deployment.#addMachine({ zone, service, name, storeAddress, workMs, endpoint })
    }
    for (const machine of deployment.machines) machine.start()
    for (const machine of deployment.machines) await machine.endpoint.start()
    await deployment.waitUntilReady()
    // Each endpoint has announced itself after the first heartbeat that its node took.
    await pause(3_500)
    return deployment
  }

  get folder () {
    return this.#folder
  }

  async #addMachine ({ zone, service, name, storeAddress, workMs, endpoint }) {
    const ports = { peer: await findUdpPort() }
    for (const use of ['forward', 'caller', 'control', 'ready', 'metrics']) ports[use] = await findTcpPort()
    const address = (use) => `${LOOPBACK}:${ports[use]}`
    const settingsPath = join(this.#folder, `${name}.json`)
    writeFileSync(settingsPath, JSON.stringify({
      nodeId: name,
      dataCentre: zone,
      service,
      peerAddress: address('peer'),
      forwardAddress: address('forward'),
      callerAddress: address('caller'),
      announcementAddress: address('control'),
      readinessAddress: address('ready'),
      metricsAddress: address('metrics'),
      storeAddress,
      logLevel: process.env.REVIEW_LOG_LEVEL ?? 'info',
      memoryMb: 350,
      maxDescriptors: 4_100,
      announceInterval: '1500ms',
      bounds: BOUNDS
    }))
    const machine = new Machine({ name, zone, service, ports, settingsPath, folder: this.#folder })
    machine.endpoint = new Endpoint({
      id: `i-${name}`,
      service,
      zone,
      controlPort: ports.control,
      onRun: (run) => { this.runs.push(run) },
      ...workMs !== undefined && { workMs },
      ...endpoint
    })
    this.machines.push(machine)
  }

  /** Waits until all processes say that they are ready. */
  async waitUntilReady () {
    for (let attempt = 0; attempt < 150; attempt++) {
      const states = await Promise.all(this.machines.map((machine) => machine.isReady()))
      if (states.every((isReady) => isReady)) return
      await pause(100)
    }
    throw new Error('not all processes were ready within 15 s')
  }

  /** Ends all that was started. */
  stop () {
    for (const { child, endpoint } of this.machines) {
      child?.kill('SIGCONT')
      child?.kill('SIGKILL')
      endpoint.stop()
    }
    this.store.close()
    if (process.env.REVIEW_KEEP === undefined) rmSync(this.#folder, { recursive: true, force: true })
  }
}
