/**
 * A small stand-in of the platform's store, as PROTOCOL.md tells it: rows, transactions, a feed of changes, and the
 * header Store-Era. It also does what the pages name as disruptions of the store.
 */
import { createServer } from 'node:http'
import { LOOPBACK } from './loopback.mjs'

const HISTORY_LOST = 410
const CONFLICT = 412
const UNAVAILABLE = 503

/** Keeps the rows of all tables, and answers the calls of the nodes. */
export class Store {
  rows = new Map()
  history = []
  version = 0
  era = 1
  /** 'up', 'busy' (503 to all calls) or 'silent' (no answer). */
  mode = 'up'
  /** Time that an answer takes. */
  delayMs = 4
  #waiting = new Set()
  #copy
  #startedAt = performance.now()
  #server = createServer((req, res) => { void this.#handle(req, res) })

  /** @returns {Promise<string>} the address */
  async open () {
    await new Promise((resolve) => { this.#server.listen(0, LOOPBACK, resolve) })
    return `${LOOPBACK}:${this.#server.address().port}`
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Writes a row as the operator does. The store has acknowledged it when this returns. */
  put (table, key, value) {
    this.version += 1
    const row = { table, key, ver: this.version }
    if (value === undefined) {
      this.rows.delete(`${table}\n${key}`)
      this.history.push({ ...row, removed: true })
    } else {
      const stored = { ...row, value: Buffer.from(JSON.stringify(value)).toString('base64') }
      this.rows.set(`${table}\n${key}`, stored)
      this.history.push(stored)
    }
    this.#wake()
  }

  /** Remembers the content, for `restoreCopy`. */
  takeCopy () {
    this.#copy = { rows: new Map(this.rows), history: [...this.history], version: this.version }
  }

  /** Comes back from the copy, in a new era. */
  restoreCopy () {
    this.rows = new Map(this.#copy.rows)
    this.history = [...this.#copy.history]
    this.version = this.#copy.version
    this.era += 1
    for (const call of [...this.#waiting]) this.#endWait(call)
  }

  /** @param {'up' | 'busy' | 'silent'} mode - whether it answers */
  setMode (mode) {
    this.mode = mode
    if (mode === 'up') return
    for (const call of [...this.#waiting]) {
      this.#waiting.delete(call)
      clearTimeout(call.timer)
      if (mode === 'busy') this.#answer(call.res, UNAVAILABLE, {})
    }
  }

  async #handle (req, res) {
    const url = new URL(req.url, 'http://store')
    const chunks = []
    try {
      for await (const chunk of req) chunks.push(chunk)
    } catch {
      return
    }
    if (this.mode === 'silent') return
    if (this.mode === 'busy') return this.#answer(res, UNAVAILABLE, {})
    const table = url.searchParams.get('table')
    if (url.pathname === '/lavenderturn/rows-get') {
      const rows = [...this.rows.values()].filter((row) => row.table === table)
        .sort((left, right) => left.key < right.key ? -1 : 1)
      return this.#answer(res, 200, { rows, has_more: false, ver: this.version })
    }
    if (url.pathname === '/lavenderturn/rows-feed') return this.#feed(url, table, res)
    if (url.pathname === '/lavenderturn/rows-tx') return this.#transact(JSON.parse(Buffer.concat(chunks)), res)
    this.#answer(res, 404, {})
  }

  #transact ({ expect = [], puts = [], deletes = [] }, res) {
    const isMet = expect.every(({ table, key, ver }) => (this.rows.get(`${table}\n${key}`)?.ver ?? 0) === ver)
    if (!isMet) {
      const rows = expect.map(({ table, key }) => this.rows.get(`${table}\n${key}`)).filter((row) => row !== undefined)
      return this.#answer(res, CONFLICT, { rows, ver: this.version })
    }
    this.version += 1
    for (const { table, key, value } of puts) {
      const row = { table, key, value, ver: this.version }
      this.rows.set(`${table}\n${key}`, row)
      this.history.push(row)
    }
    for (const { table, key } of deletes) {
      this.rows.delete(`${table}\n${key}`)
      this.history.push({ table, key, ver: this.version, removed: true })
    }
    this.#wake()
    this.#answer(res, 200, { ver: this.version })
  }

  #feed (url, table, res) {
    const after = Number(url.searchParams.get('after'))
    if (after > this.version) return this.#answer(res, HISTORY_LOST, {})
    const call = { table, after, res }
    if (this.#changes(call).length > 0) return this.#endWait(call)
    this.#waiting.add(call)
    call.timer = setTimeout(() => { this.#endWait(call) }, Number(url.searchParams.get('wait_ms')))
    res.once('close', () => {
      clearTimeout(call.timer)
      this.#waiting.delete(call)
    })
  }

  #changes ({ table, after }) {
    return this.history.filter((row) => row.table === table && row.ver > after)
  }

  #wake () {
    for (const call of [...this.#waiting]) if (this.#changes(call).length > 0) this.#endWait(call)
  }

  #endWait (call) {
    this.#waiting.delete(call)
    clearTimeout(call.timer)
    this.#answer(call.res, 200, { rows: this.#changes(call), ver: this.version })
  }

  #answer (res, status, body) {
    setTimeout(() => {
      if (res.destroyed) return
      const now = `${Math.round(performance.now() - this.#startedAt)}ms`
      const text = JSON.stringify({ ...body, now })
      res.writeHead(status, { 'content-type': 'application/json', 'store-era': String(this.era) }).end(text)
    }, this.delayMs)
  }
}
