import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { buffer } from 'node:stream/consumers'
import { decodeCall } from './decodeCall'
import type { PlatformEffect } from './PlatformEffect'
import type { PlatformEvent } from './PlatformEvent'
import { createPlatformState, type PlatformFaults } from './PlatformState'
import { reducePlatform } from './reducePlatform'
import { sendAnswer, sendError } from './sendAnswer'
import { type StandinCredentials, verifySignature } from './verifySignature'

const HOST = '127.0.0.1'

/** Credentials that the stand-in accepts by default. @public */
export const STANDIN_CREDENTIALS: StandinCredentials = {
  accessKeyId: 'standin', secretAccessKey: 'standin-secret'
}

/** @public */
export interface PlatformStandinOptions {
  /** Port of both services; 0 picks a free port. */
  readonly port?: number
  /** Port for commands; 0 picks a free port. */
  readonly adminPort?: number
  readonly credentials?: StandinCredentials
}

/** A running stand-in of the platform. @public */
export interface PlatformStandin {
  /** HTTP origin of both services. */
  readonly endpoint: string
  /** HTTP origin of the admin port. */
  readonly adminEndpoint: string
  readonly setFaults: (faults: Partial<PlatformFaults>) => void
  readonly close: () => Promise<void>
}

/**
 * Starts a stand-in of the table service and the object store on loopback ports. The admin port serves
 * `GET /status` and `POST /faults` with a JSON object of the faults to change.
 *
 * @param options - ports and credentials
 * @returns the running stand-in
 * @public
 */
export async function startPlatformStandin ({
  port = 0, adminPort = 0, credentials = STANDIN_CREDENTIALS
}: PlatformStandinOptions = {}): Promise<PlatformStandin> {
  const state = createPlatformState()
  const openCalls = new Map<number, ServerResponse>()
  const timers = new Set<NodeJS.Timeout>()
  let nextCallId = 0

  function dispatch (event: PlatformEvent): void {
    for (const effect of reducePlatform(state, event)) runEffect(effect)
  }

  function runEffect (effect: PlatformEffect): void {
    switch (effect.type) {
      case 'delay': return runAfter(effect.delayMs, () => { dispatch(effect.event) })
      case 'reset':
        openCalls.get(effect.callId)?.destroy()
        return
      case 'answer': return runAfter(effect.delayMs, () => {
        const res = openCalls.get(effect.callId)
        if (res !== undefined) sendAnswer(res, effect.answer)
      })
    }
  }

  function runAfter (delayMs: number, action: () => void): void {
    if (delayMs === 0) return action()
    const timer = setTimeout(() => {
      timers.delete(timer)
      action()
    }, delayMs)
    timers.add(timer)
  }

  async function handleCall (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await buffer(req)
    if (!verifySignature(req, body, credentials)) return sendError(res, 403, 'InvalidSignatureException')
    const call = decodeCall(req, body)
    if (call === undefined) return sendError(res, 400, 'UnknownOperationException')
    const callId = nextCallId++
    openCalls.set(callId, res)
    res.once('close', () => openCalls.delete(callId))
    dispatch({ type: 'callArrived', callId, call })
  }

  async function handleAdminRequest (req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.method === 'POST' && req.url === '/faults') {
      dispatch({ type: 'faultsCommanded', faults: JSON.parse((await buffer(req)).toString()) })
    }
    const status = { faults: state.faults, calls: state.calls, items: state.items.size, objects: state.objects.size }
    res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(status))
  }

  const service = createServer((req, res) => { void handleCall(req, res).catch(() => res.destroy()) })
  const admin = createServer((req, res) => { void handleAdminRequest(req, res).catch(() => res.destroy()) })
  return {
    endpoint: await listen(service, port),
    adminEndpoint: await listen(admin, adminPort),
    setFaults: (faults) => { dispatch({ type: 'faultsCommanded', faults }) },
    close: async () => {
      for (const timer of timers) clearTimeout(timer)
      await Promise.all([close(service), close(admin)])
    }
  }
}

async function listen (server: Server, port: number): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, HOST, resolve)
  })
  return `http://${HOST}:${(server.address() as AddressInfo).port}`
}

async function close (server: Server): Promise<void> {
  server.closeAllConnections()
  await new Promise((resolve) => server.close(resolve))
}
