import { addMillis, millis, toId } from '@lavenderturn/types'
import { assignmentKey, supersedes } from '../control/Assignment'
import { isFirstEntry, type OwnerChange } from '../control/OwnerChange'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { RETENTION, RETENTION_MARGIN } from './claimTimes'
import { copyRecords, dropRecords } from './copyRecords'
import type { OwnedRecords } from './IdempotencyState'

/**
 * Handles a new entry of the assignment. A new owner copies the existing records before it records claims. An owner
 * that has handed over keeps its records for its successor; one that was replaced by a take-over deletes them.
 *
 * @param state - the node's state
 * @param change - the new entry and the previous one
 * @returns effects
 * @internal
 */
export function handleOwnerChanged (state: NodeState, change: Omit<OwnerChange, 'at'>): NodeEffect[] {
  const { entry } = change
  const key = assignmentKey(entry.partition, entry.domain)
  const owned = state.idempotency.ownedRecords.get(key)
  if (owned !== undefined && !supersedes(entry, owned.entry)) return []
  if (entry.owner === state.identity.nodeId) return takeOwnership(state, key, change)
  if (owned === undefined) return []
  if (entry.epoch > owned.entry.epoch || owned.status === 'copying') return dropRecords(state, key)
  owned.status = 'frozen'
  return []
}

function takeOwnership (state: NodeState, key: string, { entry, previous }: Omit<OwnerChange, 'at'>): NodeEffect[] {
  const isFirstOwner = previous === undefined && isFirstEntry(entry)
  const isHandOver = previous !== undefined && previous.epoch === entry.epoch && previous.owner !== entry.owner
  const owned: OwnedRecords = {
    entry,
    status: isFirstOwner ? 'open' : 'copying',
    opensAt: addMillis(state.now, millis(RETENTION + RETENTION_MARGIN)),
    predecessor: isHandOver ? previous.owner : undefined,
    predecessorFailures: 0,
    sources: new Map(),
    fences: new Map(),
    // Records from an earlier term as owner are still valid.
    records: state.idempotency.ownedRecords.get(key)?.records ?? new Map()
  }
  state.idempotency.ownedRecords.set(key, owned)
  if (isFirstOwner) return [{ slice: 'timer', type: 'clear', id: toId(`copy/${key}`) }]
  return copyRecords(state, owned)
}
