/** Clients that send whole requests, as PROTOCOL.md tells it. */
import { Agent, request } from 'node:http'
import { LOOPBACK } from './loopback.mjs'

let nextId = 1

/** @returns {string} a new request id */
export function createId () {
  return `c${(nextId++).toString(16).padStart(8, '0')}`
}

/** @returns {Agent} the kept connections of a client */
export function createAgent () {
  return new Agent({ keepAlive: true, maxSockets: Number.POSITIVE_INFINITY })
}

/**
 * Sends one request.
 *
 * @param {object} options - the request
 * @returns {Promise<object>} what was sent, and the answer or how the connection ended
 */
export async function send ({ port, host, path, method = 'GET', key, deadlineMs = 4_000, agent = false, id = createId(), body }) {
  const sent = { id, at: performance.now(), method, path }
  const headers = { host, 'x-request-id': id, 'x-deadline-ms': String(deadlineMs) }
  if (key !== undefined) headers['x-key'] = key
  if (body !== undefined) headers['content-length'] = Buffer.byteLength(body)
  return await new Promise((resolve) => {
    const call = request({ host: LOOPBACK, port, method, path, headers, agent })
    const timer = setTimeout(() => { call.destroy(new Error('gave up at the deadline')) }, deadlineMs + 500)
    const end = (result) => {
      clearTimeout(timer)
      resolve({ ...sent, ...result, endedAt: performance.now() })
    }
    call.on('response', (res) => {
      const chunks = []
      res.on('data', (chunk) => { chunks.push(chunk) })
      res.on('end', () => {
        const { 'x-server-stamp': stamp, 'server-leaving': leaving } = res.headers
        end({ status: res.statusCode, stamp, leaving, text: Buffer.concat(chunks).toString() })
      })
      res.on('error', (err) => { end({ error: err.message }) })
    })
    call.on('error', (err) => { end({ error: err.message }) })
    call.end(body)
  })
}
