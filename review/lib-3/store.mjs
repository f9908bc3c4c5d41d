// Stand-in of the platform's store: rows, transactions and change feeds, as PROTOCOL.md describes them.
import { createServer } from 'node:http'

const HISTORY_LOST = 410

/** Starts a store. Each caller may get an address of its own, which can be turned away while the others are served. */
export async function startStore () {
  const startedAt = performance.now()
  const rows = new Map()
  const history = []
  const waiters = new Set()
  const servers = []
  let version = 0

  const now = () => `${Math.round(performance.now() - startedAt)}ms`
  const toKey = ({ table, part = '', key }) => `${table}\n${part}\n${key}`

  function apply (puts, deletes) {
    version += 1
    for (const { table, part = '', key, value } of puts) {
      const row = { table, part, key, value, ver: version }
      rows.set(toKey(row), row)
      history.push(row)
    }
    for (const { table, part = '', key } of deletes) {
      rows.delete(toKey({ table, part, key }))
      history.push({ table, part, key, ver: version, removed: true })
    }
    for (const waiter of [...waiters]) waiter.check()
  }

  function list (table, part, from) {
    return [...rows.values()]
      .filter((row) => row.table === table && row.part === part && row.key >= from)
      .sort((left, right) => left.key < right.key ? -1 : 1)
  }

  function respond (res, status, body = {}) {
    if (res.destroyed || res.headersSent) return
    const text = JSON.stringify({ ...body, now: now() })
    res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
  }

  function transact (res, { expect = [], puts = [], deletes = [] }) {
    const isMet = expect.every((row) => (rows.get(toKey(row))?.ver ?? 0) === row.ver)
    if (!isMet) {
      return respond(res, 412, { rows: expect.flatMap((row) => rows.get(toKey(row)) ?? []), ver: version })
    }
    if (puts.some(({ table }) => table === 'op' || table === 'servers')) return respond(res, 403)
    apply(puts, deletes)
    respond(res, 200, { ver: version })
  }

  function feed (res, table, after, waitMs) {
    if (after > version) return respond(res, HISTORY_LOST)
    const waiter = {
      res,
      check () {
        const changed = history.filter((row) => row.table === table && row.ver > after)
        if (changed.length === 0) return false
        waiter.end(changed)
        return true
      },
      end (changed = []) {
        clearTimeout(waiter.timer)
        waiters.delete(waiter)
        respond(res, 200, { rows: changed, ver: version })
      }
    }
    waiters.add(waiter)
    waiter.timer = setTimeout(() => { waiter.end() }, waitMs)
    waiter.check()
  }

  async function handle (req, res, isTurnedAway) {
    const pieces = []
    for await (const piece of req) pieces.push(piece)
    // 503 means that nothing was done.
    if (isTurnedAway()) return respond(res, 503)
    const url = new URL(req.url, 'http://store')
    const { searchParams: query } = url
    if (url.pathname === '/lavenderturn/rows-tx') return transact(res, JSON.parse(Buffer.concat(pieces).toString()))
    if (url.pathname === '/lavenderturn/rows-get') {
      const found = list(query.get('table'), query.get('part') ?? '', query.get('from') ?? '')
      return respond(res, 200, { rows: found, has_more: false, ver: version })
    }
    if (url.pathname === '/lavenderturn/rows-feed') {
      return feed(res, query.get('table'), Number(query.get('after')), Number(query.get('wait_ms')))
    }
    respond(res, 404)
  }

  return {
    /** Opens an address for one caller. */
    async open () {
      let turnedAway = false
      const own = new Set()
      const server = createServer((req, res) => {
        own.add(res)
        res.once('close', () => { own.delete(res) })
        handle(req, res, () => turnedAway).catch(() => { res.destroy() })
      })
      servers.push(server)
      await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })
      return {
        address: `127.0.0.1:${server.address().port}`,
        turnAway (value) {
          turnedAway = value
          if (!value) return
          // Calls that wait are refused as well.
          for (const waiter of [...waiters]) {
            if (!own.has(waiter.res)) continue
            clearTimeout(waiter.timer)
            waiters.delete(waiter)
            respond(waiter.res, 503)
          }
        }
      }
    },
    /** Writes a row as the operator does. */
    put (table, key, value) {
      apply([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
    },
    stop () {
      for (const waiter of waiters) clearTimeout(waiter.timer)
      for (const server of servers) {
        server.close()
        server.closeAllConnections()
      }
    }
  }
}
