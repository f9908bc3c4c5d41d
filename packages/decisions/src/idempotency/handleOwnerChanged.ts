import { addMillis, millis, toId } from '@lavenderturn/types'
import { assignmentKey, supersedes } from '../control/Assignment'
import { isFirstEntry, type OwnerChange } from '../control/OwnerChange'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { RETENTION, RETENTION_MARGIN } from './claimTimes'
import { copyRecords, dropRecords } from './copyRecords'
import type { OwnedRecords } from './IdempotencyState'

/**
 * Reacts to a new entry of the assignment. A new owner copies records before it records claims. An owner that has
 * handed over keeps its records for the successor; one that was taken over drops them.
 *
 * @param state - the node's state
 * @param change - the entry
 * @returns effects
 * @internal
 */
export function handleOwnerChanged (state: NodeState, change: Omit<OwnerChange, 'at'>): NodeEffect[] {
  const { entry } = change
  const key = assignmentKey(entry.partition, entry.domain)
  const owned = state.idempotency.owned.get(key)
  if (owned !== undefined && !supersedes(entry, owned.entry)) return []
  if (entry.owner === state.identity.nodeId) return openOwned(state, key, change)
  if (owned === undefined) return []
  if (entry.epoch > owned.entry.epoch || owned.status === 'copying') return dropRecords(state, key)
  owned.status = 'frozen'
  return []
}

function openOwned (state: NodeState, key: string, { entry, previous }: Omit<OwnerChange, 'at'>): NodeEffect[] {
  const isFirst = previous === undefined && isFirstEntry(entry)
  const isHandOver = previous !== undefined && previous.epoch === entry.epoch && previous.owner !== entry.owner
  const owned: OwnedRecords = {
    entry,
    status: isFirst ? 'open' : 'copying',
    opensAt: addMillis(state.now, millis(RETENTION + RETENTION_MARGIN)),
    predecessor: isHandOver ? previous.owner : undefined,
    predecessorFailures: 0,
    sources: new Map(),
    fences: new Map(),
    // Records of an earlier time as owner are still true.
    records: state.idempotency.owned.get(key)?.records ?? new Map()
  }
  state.idempotency.owned.set(key, owned)
  if (isFirst) return [{ slice: 'timer', type: 'clear', id: toId(`copy/${key}`) }]
  return copyRecords(state, owned)
}
