import { millis } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'

/** A server that is sound must get a request within this time while its service has traffic. */
const MAX_IDLE_TIME = millis(2_000)

/**
 * Describes the time without a request that the next dispatch ends, if it was long. The refusals tell a server that was
 * not asked from one whose admission turned requests away.
 *
 * @param state - the node's state
 * @returns the log line, or nothing
 * @internal
 */
export function describeIdlePeriod ({ admission, now, policies }: MeshState): MeshEffect[] {
  const { grayFailure, lastDispatchAt, refusedSinceDispatch, server } = admission
  const idleMs = now - lastDispatchAt
  if (lastDispatchAt === 0 || idleMs < MAX_IDLE_TIME) return []
  const fields = {
    endpoint: server?.endpoint,
    idleMs: Math.round(idleMs),
    refused: refusedSinceDispatch,
    suspect: policies.grayFailureDetector.isSuspect(grayFailure, now)
  }
  return [{ slice: 'log', type: 'line', level: 'debug', message: 'backend server was idle', fields }]
}
