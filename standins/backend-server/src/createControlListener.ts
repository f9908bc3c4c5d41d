import type { IncomingMessage, RequestListener } from 'node:http'
import { z } from 'zod'
import type { BackendState } from './BackendState'
import type { BackendEventBody } from './startBackendServer'

const rate = z.number().min(0).max(1)

const modesSchema = z.strictObject({
  slowFactor: z.number().positive(),
  errorRate: rate,
  flapPeriodMs: z.number().min(0),
  silentRate: rate,
  truncateRate: rate,
  closeDelimitedRate: rate,
  crossRate: rate,
  lateRate: rate,
  crashPath: z.string(),
  shedRate: rate,
  report: z.enum(['true', 'idle', 'busy']),
  reportLagMs: z.number().min(0)
}).partial()

/** @internal */
export interface ControlListenerOptions {
  readonly state: BackendState
  readonly dispatch: (event: BackendEventBody) => void
}

const commands: Readonly<Record<string, BackendEventBody>> = {
  'POST /drain': { type: 'drainCommanded' },
  'POST /serve': { type: 'serveCommanded' },
  'POST /leave': { type: 'leaveCommanded' },
  'POST /crash': { type: 'crashCommanded' }
}

/**
 * Creates the request listener of the stand-in's control port, which tests and the demo use: `POST /modes`, `/drain`,
 * `/serve`, `/leave`, `/crash` and `GET /runs`.
 *
 * @param options - the reported state, and the function that receives the commands
 * @returns the request listener
 * @internal
 */
export function createControlListener ({ state, dispatch }: ControlListenerOptions): RequestListener {
  return (req, res) => {
    const name = `${req.method} ${req.url}`
    const command = commands[name]
    if (command !== undefined) {
      res.writeHead(204).end(() => { dispatch(command) })
    } else if (name === 'GET /runs') {
      res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(describeRuns(state)))
    } else if (name === 'POST /modes') {
      void readJson(req).then((body) => {
        const parsed = modesSchema.safeParse(body)
        if (parsed.success) dispatch({ type: 'modesSet', modes: parsed.data })
        res.writeHead(parsed.success ? 204 : 400).end(parsed.success ? undefined : parsed.error.message)
      })
    } else {
      res.writeHead(404).end()
    }
  }
}

/** Response body of `GET /runs`. @public */
export type BackendRuns = ReturnType<typeof describeRuns>

function describeRuns (state: BackendState) {
  return {
    bootId: state.bootId,
    boots: state.boots,
    runs: state.runs,
    inFlight: state.inFlight,
    mostInFlight: state.mostInFlight,
    runsByKey: Object.fromEntries(state.runsByKey),
    requests: [...state.requests.values()]
  }
}

async function readJson (req: IncomingMessage): Promise<unknown> {
  let text = ''
  for await (const chunk of req) text += String(chunk)
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
