import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { json } from 'node:stream/consumers'
import { type RowKey, reduceStore, type StoreEvent } from './reduceStore'
import { createStoreState, type StoreFault } from './StoreState'

/** A running stand-in of the platform's store. */
export interface StoreStandin {
  /** `host:port`. */
  readonly address: string
  /** Writes a row directly, as an operator does; `undefined` removes it. */
  readonly put: (table: string, key: string, value: unknown) => void
  /** Writes a row with any bytes, as another writer may. */
  readonly putText: (table: string, key: string, text: string) => void
  readonly listKeys: (table: string) => string[]
  /** Reads a row as JSON; `undefined` if there is none. */
  readonly get: (table: string, key: string) => unknown
  readonly setFault: (fault: StoreFault) => void
  readonly dropHistory: () => void
  /** Takes a copy of the content. */
  readonly takeCopy: () => void
  /**
   * Replaces the content with the copy, which begins a new era. Versions that were lost are given out again. The rows
   * of one table may be written again at once, as operators do.
   */
  readonly restoreCopy: (options?: { readonly rewrittenTable?: string }) => void
  readonly stop: () => void
}

/**
 * Starts a stand-in of the platform's store on a loopback port, with rows, transactions and change feeds.
 *
 * @returns the running stand-in
 */
export async function startStoreStandin (): Promise<StoreStandin> {
  const state = createStoreState()
  const openResponses = new Map<number, ServerResponse>()
  let nextCallId = 1
  const startedAt = performance.now()

  const dispatch = (event: StoreEvent): void => {
    for (const { callId, status, body } of reduceStore(state, event)) {
      const res = openResponses.get(callId)
      openResponses.delete(callId)
      if (res === undefined) continue
      const now = `${Math.round(performance.now() - startedAt)}ms`
      res.writeHead(status, { 'content-type': 'application/json', 'store-era': String(state.era) }).end(JSON.stringify({ ...body, now }))
    }
  }

  const server = createServer((req, res) => {
    const callId = nextCallId++
    openResponses.set(callId, res)
    res.once('close', () => { openResponses.delete(callId) })
    void readCall(req, callId).then((event) => {
      if (event === undefined) {
        res.writeHead(404).end()
        return
      }
      dispatch(event)
      if (event.type !== 'changesAwaited') return
      const waitMs = Number(new URL(req.url ?? '/', 'http://store').searchParams.get('wait_ms'))
      setTimeout(() => { dispatch({ type: 'waitOver', callId }) }, waitMs).unref()
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })

  const putRow = (rowKey: RowKey, text: string | undefined): void => {
    const changes = text === undefined
      ? { puts: [], deletes: [rowKey] }
      : { puts: [{ ...rowKey, value: Buffer.from(text).toString('base64') }], deletes: [] }
    dispatch({ type: 'transaction', callId: 0, expect: [], ...changes })
  }

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    put: (table, key, value) => { putRow({ table, key }, value === undefined ? undefined : JSON.stringify(value)) },
    putText: (table, key, text) => { putRow({ table, key }, text) },
    listKeys: (table) => [...state.rows.values()].filter((row) => row.table === table).map(({ key }) => key),
    get: (table, key) => {
      const row = [...state.rows.values()].find((row) => row.table === table && row.key === key)
      return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString()) as unknown
    },
    setFault: (fault) => { dispatch({ type: 'faultSet', fault }) },
    dropHistory: () => { dispatch({ type: 'historyDropped' }) },
    takeCopy: () => { dispatch({ type: 'copyTaken' }) },
    restoreCopy: ({ rewrittenTable } = {}) => { dispatch({ type: 'copyRestored', rewrittenTable }) },
    stop: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}

async function readCall (req: IncomingMessage, callId: number): Promise<StoreEvent | undefined> {
  const url = new URL(req.url ?? '/', 'http://store')
  const table = url.searchParams.get('table') ?? ''
  switch (url.pathname) {
    case '/lavenderturn/rows-tx': {
      const { expect, puts, deletes } = await json(req) as Omit<Extract<StoreEvent, { type: 'transaction' }>, 'type'>
      return { type: 'transaction', callId, expect, puts, deletes }
    }
    case '/lavenderturn/rows-get': return { type: 'rowsRead', callId, table }
    case '/lavenderturn/rows-feed':
      return { type: 'changesAwaited', callId, table, after: Number(url.searchParams.get('after')) }
    default: return undefined
  }
}
