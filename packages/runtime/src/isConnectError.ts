import { errors } from 'undici'

/**
 * @param err - an error of an HTTP client
 * @returns whether the connection was never made, so that no byte can have been received
 * @internal
 */
export function isConnectError (err: unknown): boolean {
  if (err instanceof errors.ConnectTimeoutError) return true
  return err instanceof Error && 'syscall' in err && err.syscall === 'connect'
}
