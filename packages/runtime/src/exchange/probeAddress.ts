import { type Address, type AttemptId, type BootId, toId } from '@lavenderturn/types'
import { type IncomingMessage, request } from 'node:http'
import { headers } from '../headers'
import { splitAddress } from '../splitAddress'

/** A new connection and a probe take about 26 ms; a server that needs a second does not serve requests either. */
const PROBE_TIMEOUT_MS = 1_000

/**
 * How an attempt stands at the other side: it works on it, it waits for the connection, or it does not know it or has
 * finished it.
 *
 * @public
 */
export type AttemptState = 'open' | 'stalled' | 'closed'

/**
 * What a probe over a fresh connection found. `alive` means that the server answers but does not tell of the attempt.
 *
 * @internal
 */
export type ProbeKind = AttemptState | 'alive' | 'refused' | 'unreachable'

/** @internal */
export interface ProbeReport {
  readonly kind: ProbeKind
  /** Life of the process that answered, where it says so. */
  readonly bootId?: BootId
}

/** @internal */
export interface ProbeOptions {
  readonly address: Address
  /** The attempt whose connection is in doubt. */
  readonly attemptId: AttemptId
  readonly timeoutMs?: number
}

/**
 * Asks a server over a fresh connection whether it answers. `OPTIONS *` is the no-op of HTTP (RFC 9110, 9.3.7) and
 * runs no request; any status counts as an answer.
 *
 * @param options - where to ask and for which attempt
 * @returns what was found; never rejects
 * @internal
 */
export async function probeAddress (
  { address, attemptId, timeoutMs = PROBE_TIMEOUT_MS }: ProbeOptions
): Promise<ProbeReport> {
  return await new Promise((resolve) => {
    const probe = request({
      ...splitAddress(address), method: 'OPTIONS', path: '*', agent: false, headers: { [headers.attempt]: attemptId }
    })
    const timer = setTimeout(() => { finish({ kind: 'unreachable' }) }, timeoutMs)
    const finish = (report: ProbeReport): void => {
      clearTimeout(timer)
      resolve(report)
      probe.destroy()
    }
    probe.on('response', (response) => { finish(readReport(response)) })
    probe.on('error', (err: NodeJS.ErrnoException) => {
      finish({ kind: err.code === 'ECONNREFUSED' ? 'refused' : 'unreachable' })
    })
    probe.end()
  })
}

function readReport ({ headers: received }: IncomingMessage): ProbeReport {
  const state = received[headers.attemptState]
  const bootId = received[headers.bootId]
  return {
    kind: state === 'open' || state === 'stalled' || state === 'closed' ? state : 'alive',
    bootId: typeof bootId === 'string' ? toId(bootId) : undefined
  }
}
