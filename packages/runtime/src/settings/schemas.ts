import { type Address, type Millis, toId } from '@lavenderturn/types'
import { z } from 'zod'

const ADDRESS = /^(\[[0-9a-fA-F:]+\]|[A-Za-z0-9._-]+):(\d{1,5})$/
const MAX_PORT = 65_535
const LOOPBACK = /^(127\.\d+\.\d+\.\d+|localhost|\[::1\]):/

function isAddress (text: string): boolean {
  const match = ADDRESS.exec(text)
  return match !== null && Number(match[2]) <= MAX_PORT
}

/** `host:port`; port 0 selects any free port. */
export const listenAddress = z.string()
  .refine(isAddress, 'expected host:port').transform((text) => toId<Address>(text))

/** `host:port` that is sent to other nodes, so the port cannot be 0. */
export const advertisedAddress = z.string()
  .refine((text) => isAddress(text) && !text.endsWith(':0'), 'expected host:port with a port other than 0')
  .transform((text) => toId<Address>(text))

/** `host:port` of a loopback interface, for ports without authentication. */
export const loopbackAddress = z.string()
  .refine((text) => isAddress(text) && LOOPBACK.test(text), 'expected host:port with a loopback host')
  .transform((text) => toId<Address>(text))

/** Comma-separated addresses. */
export const addressList = z.string()
  .transform((text) => text.split(',').map((part) => part.trim()).filter((part) => part !== ''))
  .refine((parts) => parts.every(isAddress), 'expected host:port, separated by commas')
  .transform((parts) => parts.map((part) => toId<Address>(part)))

/** An id whose characters need no escaping in headers, metrics and file names. */
export const idText = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'expected up to 64 letters, digits, . _ -')

/** Milliseconds as a whole number. */
export const wholeMillis = z.string().regex(/^\d{1,9}$/, 'expected a whole number of milliseconds')
  .transform((text) => Number(text) as Millis)

/** A seed of a random generator. */
export const seed = z.string().regex(/^\d{1,9}$/, 'expected a whole number').transform(Number)

/** Endpoint of a store, and the name of its table or bucket. */
export interface StoreLocation {
  readonly endpoint: string
  readonly name: string
}

/** An HTTP URL whose path is the name of a table or bucket. */
export const storeUrl = z.string().refine((text) => {
  return URL.canParse(text) && /^https?:$/.test(new URL(text).protocol) && /^\/[\w.-]+$/.test(new URL(text).pathname)
}, 'expected an http or https URL with one name as path').transform((text): StoreLocation => {
  const { origin, pathname } = new URL(text)
  return { endpoint: origin, name: pathname.slice(1) }
})

/** Any text. */
export const anyText = z.string()

/** `true` or `false`. */
export const booleanText = z.string().refine((text) => text === 'true' || text === 'false', 'expected true or false')
  .transform((text) => text === 'true')

/**
 * @param choices - allowed values
 * @returns a schema for one of them
 */
export function oneOf<const Choice extends string> (choices: readonly Choice[]) {
  return z.string()
    .refine((text) => (choices as readonly string[]).includes(text), `expected one of ${choices.join(', ')}`)
    .transform((text) => text as Choice)
}
