import type { HeartbeatMessage, LoadSummary } from '@lavenderturn/mesh'
import { toId } from '@lavenderturn/types'

const MAX_ID_LENGTH = 200

/**
 * Decodes a heartbeat without the schema. Heartbeats are by far the most frequent datagrams, and the schema took most
 * of the time that one costs. A test keeps both equal.
 *
 * @param values - the values of the datagram, the kind first
 * @returns the heartbeat, or undefined if it is malformed
 * @internal
 */
export function decodeHeartbeat (values: readonly unknown[]): HeartbeatMessage | undefined {
  const [, node, boot, loadValues, revision, leaving, hearsReceiver] = values
  const load = decodeLoadSummary(loadValues)
  if (load === undefined || !isId(node) || !isId(boot) || !isCount(revision)) return undefined
  if (typeof leaving !== 'boolean' || typeof hearsReceiver !== 'boolean') return undefined
  return { kind: 'beat', node: toId(node), boot, load, revision: toId(revision), leaving, hearsReceiver }
}

function decodeLoadSummary (values: unknown): LoadSummary | undefined {
  if (!Array.isArray(values)) return undefined
  const [open, slots, used, queued, suspect, ...times] = values as readonly unknown[]
  const [errorRate, serviceMs, dueMs = 0, limitDelayMs = 0] = times
  if (typeof open !== 'boolean' || typeof suspect !== 'boolean' || !isFinite(dueMs)) return undefined
  if (!isCount(slots) || !isCount(used) || !isCount(queued)) return undefined
  if (!isCount(errorRate) || !isCount(serviceMs) || !isCount(limitDelayMs)) return undefined
  return { open, slots, used, queued, suspect, errorRate, serviceMs, dueMs, limitDelayMs }
}

function isId (value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= MAX_ID_LENGTH
}

function isCount (value: unknown): value is number {
  return isFinite(value) && value >= 0
}

/** JSON can carry numbers that are read as infinite. */
function isFinite (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value)
}
