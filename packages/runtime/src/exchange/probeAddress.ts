import { type Address, type AttemptId, type BootId, toId } from '@lavenderturn/types'
import { type IncomingMessage, request } from 'node:http'
import { headers } from '../headers'
import { splitAddress } from '../splitAddress'

/** A probe over a new connection takes about 26 ms; a server that needs a second cannot serve requests either. */
const PROBE_TIMEOUT_MS = 1_000

/**
 * State of an attempt at the other side: `open` while it works on the attempt, `stalled` while it waits for the
 * connection, and `closed` when the attempt has finished or is unknown.
 *
 * @public
 */
export type AttemptState = 'open' | 'stalled' | 'closed'

/**
 * Result of a probe over a new connection. `alive` means that the server answers without the state of the attempt.
 *
 * @internal
 */
export type ProbeKind = AttemptState | 'alive' | 'refused' | 'unreachable'

/** @internal */
export interface ProbeReport {
  readonly kind: ProbeKind
  /** Boot id of the process that answered, if it sends one. */
  readonly bootId?: BootId
}

/** @internal */
export interface ProbeOptions {
  readonly address: Address
  /** The attempt whose connection may be broken. */
  readonly attemptId: AttemptId
  readonly timeoutMs?: number
}

/**
 * Probes a server over a new connection. The request is `OPTIONS *`, the no-op of HTTP (RFC 9110, 9.3.7); any status
 * counts as an answer.
 *
 * @param options - the server to probe, and the attempt to ask about
 * @returns the result; never rejects
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
    probe.on('response', (response) => { finish(createReport(response)) })
    probe.on('error', (err: NodeJS.ErrnoException) => {
      finish({ kind: err.code === 'ECONNREFUSED' ? 'refused' : 'unreachable' })
    })
    probe.end()
  })
}

function createReport ({ headers: received }: IncomingMessage): ProbeReport {
  const state = received[headers.attemptState]
  const bootId = received[headers.bootId]
  return {
    kind: state === 'open' || state === 'stalled' || state === 'closed' ? state : 'alive',
    bootId: typeof bootId === 'string' ? toId(bootId) : undefined
  }
}
