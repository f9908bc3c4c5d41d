import { getHeaderValues, type HeaderList } from './RequestHead'

/**
 * Hop-by-hop headers (RFC 9110, section 7.6.1), and those that frame the body, which is framed anew for each
 * connection.
 */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'content-length'
])

/** Prefix of the headers that nodes exchange with each other. */
const INTERNAL_HEADER_PREFIX = 'lavenderturn-'

/**
 * Removes hop-by-hop headers, including those listed in `connection`, and the internal headers of nodes.
 *
 * @param headers - headers as received
 * @returns the headers to forward
 * @public
 */
export function removeConnectionHeaders (headers: HeaderList): HeaderList {
  const connectionOptions = new Set(getHeaderValues(headers, 'connection').flatMap(parseConnectionOptions))
  return headers.filter(([name]) => {
    const key = name.toLowerCase()
    return !CONNECTION_HEADERS.has(key) && !connectionOptions.has(key) && !key.startsWith(INTERNAL_HEADER_PREFIX)
  })
}

function parseConnectionOptions (value: string): string[] {
  return value.split(',').map((option) => option.trim().toLowerCase())
}
