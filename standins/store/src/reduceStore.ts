import type { StoreCopy, StoredChange, StoredRow, StoreFault, StoreState } from './StoreState'

/** Key of a row in a transaction. */
export interface RowKey {
  readonly table: string
  readonly key: string
}

/** Events that the reducer handles. */
export type StoreEvent =
  | {
    readonly type: 'transaction',
    readonly callId: number,
    readonly expect: ReadonlyArray<RowKey & { readonly ver: number }>,
    readonly puts: ReadonlyArray<RowKey & { readonly value: string }>,
    readonly deletes: readonly RowKey[]
  }
  | { readonly type: 'rowsRead', readonly callId: number, readonly table: string }
  | { readonly type: 'changesAwaited', readonly callId: number, readonly table: string, readonly after: number }
  | { readonly type: 'waitOver', readonly callId: number }
  | { readonly type: 'faultSet', readonly fault: StoreFault }
  | { readonly type: 'historyDropped' }
  | { readonly type: 'copyTaken' }
  | { readonly type: 'copyRestored', readonly rewrittenTable?: string }

/** Response to a call. A call without this effect stays open. */
export interface StoreEffect {
  readonly type: 'answer'
  readonly callId: number
  readonly status: number
  readonly body: Readonly<Record<string, unknown>>
}

/**
 * Applies one event to the state of the stand-in.
 *
 * @param state - the state, updated in place
 * @param event - what happened
 * @returns the responses to send
 */
export function reduceStore (state: StoreState, event: StoreEvent): StoreEffect[] {
  switch (event.type) {
    case 'faultSet':
      state.fault = event.fault
      return event.fault === 'down' ? refuseWaiters(state) : []
    case 'historyDropped':
      state.trimmedVer = state.ver
      state.history.length = 0
      return []
    case 'copyTaken':
      state.copy = {
        rows: new Map(state.rows), history: [...state.history], ver: state.ver, trimmedVer: state.trimmedVer
      }
      return []
    case 'copyRestored':
      if (state.copy !== undefined) restoreCopy(state, state.copy, event.rewrittenTable)
      return answerWaiters(state)
    case 'waitOver': return endWait(state, event.callId)
  }
  if (state.fault === 'down') return [answer(event.callId, 503, {})]
  if (state.fault === 'silent') return []
  switch (event.type) {
    case 'transaction': return transact(state, event)
    case 'rowsRead': return [answer(event.callId, 200, { rows: listRows(state, event.table), ver: state.ver })]
    case 'changesAwaited': return awaitChanges(state, event)
  }
}

function transact (state: StoreState, event: Extract<StoreEvent, { readonly type: 'transaction' }>): StoreEffect[] {
  const failed = event.expect.some((row) => (state.rows.get(toRowKey(row))?.ver ?? 0) !== row.ver)
  if (failed) {
    const rows = event.expect.flatMap((row) => state.rows.get(toRowKey(row)) ?? [])
    return [answer(event.callId, 412, { rows, ver: state.ver })]
  }
  state.ver += 1
  for (const { table, key, value } of event.puts) applyChange(state, { table, key, value, ver: state.ver })
  for (const { table, key } of event.deletes) applyChange(state, { table, key, ver: state.ver })
  const effects = state.fault === 'lost' ? [] : [answer(event.callId, 200, { ver: state.ver })]
  return [...effects, ...answerWaiters(state)]
}

function answerWaiters (state: StoreState): StoreEffect[] {
  const effects: StoreEffect[] = []
  for (const waiter of [...state.waiters.values()]) {
    const rows = listChanges(state, waiter.table, waiter.after)
    if (rows.length === 0) continue
    state.waiters.delete(waiter.callId)
    effects.push(answer(waiter.callId, 200, { rows, ver: state.ver }))
  }
  return effects
}

function applyChange (state: StoreState, change: StoredChange): void {
  const { table, key, value, ver } = change
  if (value === undefined) state.rows.delete(toRowKey(change))
  else state.rows.set(toRowKey(change), { table, key, value, ver })
  state.history.push(change)
}

function awaitChanges (
  state: StoreState,
  { callId, table, after }: Extract<StoreEvent, { readonly type: 'changesAwaited' }>
): StoreEffect[] {
  if (after < state.trimmedVer || after > state.ver) return [answer(callId, 410, {})]
  const rows = listChanges(state, table, after)
  if (rows.length > 0) return [answer(callId, 200, { rows, ver: state.ver })]
  state.waiters.set(callId, { callId, table, after })
  return []
}

/**
 * Waiting calls go on, and are answered in the new era. The rows of `rewrittenTable` are as they were, at new versions.
 */
function restoreCopy (state: StoreState, { rows, history, ver, trimmedVer }: StoreCopy, rewrittenTable?: string): void {
  const written = [...state.rows.values()].filter(({ table }) => table === rewrittenTable)
  state.rows.clear()
  for (const [key, row] of rows) state.rows.set(key, row)
  state.history.splice(0, Infinity, ...history)
  state.ver = ver
  state.trimmedVer = trimmedVer
  state.era += 1
  const keys = new Set(written.map(toRowKey))
  const dropped = [...rows.values()].filter((row) => row.table === rewrittenTable && !keys.has(toRowKey(row)))
  for (const row of written) applyChange(state, { ...row, ver: ++state.ver })
  for (const { table, key } of dropped) applyChange(state, { table, key, ver: ++state.ver })
}

function endWait (state: StoreState, callId: number): StoreEffect[] {
  if (!state.waiters.delete(callId)) return []
  return [answer(callId, 200, { rows: [], ver: state.ver })]
}

function refuseWaiters (state: StoreState): StoreEffect[] {
  const waiters = [...state.waiters.values()]
  state.waiters.clear()
  return waiters.map(({ callId }) => answer(callId, 503, {}))
}

function listRows (state: StoreState, table: string): StoredRow[] {
  return [...state.rows.values()].filter((row) => row.table === table)
    .sort((left, right) => left.key < right.key ? -1 : 1)
}

function listChanges (state: StoreState, table: string, after: number): Array<Record<string, unknown>> {
  return state.history.filter((change) => change.table === table && change.ver > after)
    .map(({ key, value, ver }) => value === undefined ? { key, ver, removed: true } : { key, ver, value })
}

function answer (callId: number, status: number, body: Readonly<Record<string, unknown>>): StoreEffect {
  return { type: 'answer', callId, status, body }
}

function toRowKey ({ table, key }: RowKey): string {
  return `${table}\n${key}`
}
