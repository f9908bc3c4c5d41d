import { splitAddress } from './splitAddress'

const ADDRESS_PATTERN = /^(\[[0-9a-f:]+\]|[^\s:/]+):\d{1,5}$/
const MAX_PORT = 65_535

/**
 * Checks the form of an address that another process has sent. Node throws for ports out of range.
 *
 * @param text - the address
 * @returns whether it is `host:port` with a port to which can be sent
 * @public
 */
export function isAddress (text: string): boolean {
  if (!ADDRESS_PATTERN.test(text)) return false
  const { port } = splitAddress(text)
  return port > 0 && port <= MAX_PORT
}
