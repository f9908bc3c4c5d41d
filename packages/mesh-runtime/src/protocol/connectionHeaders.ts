import { type HeaderList, readHeader } from './RequestHead'

/**
 * Headers that belong to one connection (RFC 9110, section 7.6.1). The framing of a body is set anew on each
 * connection.
 */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'content-length'
])

/** Begins the names of headers that nodes exchange among themselves. */
const OWN_PREFIX = 'lavenderturn-'

/**
 * Drops headers that concern only one connection, those that `connection` names among them.
 *
 * @param headers - headers as received
 * @returns those that are passed on
 * @public
 */
export function dropConnectionHeaders (headers: HeaderList): HeaderList {
  const named = new Set(readHeader(headers, 'connection').flatMap(listOptions))
  return headers.filter(([name]) => {
    const key = name.toLowerCase()
    return !CONNECTION_HEADERS.has(key) && !named.has(key) && !key.startsWith(OWN_PREFIX)
  })
}

function listOptions (value: string): string[] {
  return value.split(',').map((option) => option.trim().toLowerCase())
}
