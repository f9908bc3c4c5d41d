import type { Address } from '@lavenderturn/types'
import { connect } from 'node:net'

/** A backend server on the same instance that has not accepted after this time does not accept connections. */
const CONNECT_TIMEOUT_MS = 500

/**
 * Checks whether a backend server accepts connections. The connection is closed immediately.
 *
 * @param address - address of a backend server
 * @returns whether the connection was accepted
 * @internal
 */
export async function canConnect (address: Address): Promise<boolean> {
  const { hostname, port } = new URL(`http://${address}`)
  return await new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port) })
    const finish = (accepted: boolean): void => {
      socket.destroy()
      resolve(accepted)
    }
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => { finish(false) })
    socket.once('connect', () => { finish(true) })
    socket.once('error', () => { finish(false) })
  })
}
