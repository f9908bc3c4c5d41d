import type { Address } from '@lavenderturn/types'

/** @internal */
export interface HostAndPort {
  readonly host: string
  readonly port: number
}

/**
 * Splits an address at its last colon. IPv6 hosts are in brackets.
 *
 * @param address - `host:port`
 * @returns host and port
 * @internal
 */
export function splitAddress (address: Address | string): HostAndPort {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon)
  return { host: host.startsWith('[') ? host.slice(1, -1) : host, port: Number(address.slice(colon + 1)) }
}
