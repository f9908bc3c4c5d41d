import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { createServer, type Http2Server } from 'node:http2'

/** Adds the routes of one slice to a router of the control port. @public */
export type AddRoutes = (router: ConnectRouter) => void

/**
 * Creates the server of the control port (connect-es over HTTP/2 without TLS).
 *
 * @param slices - functions that add the routes of each slice
 * @returns the server, not yet listening
 * @public
 */
export function createControlServer (slices: readonly AddRoutes[]): Http2Server {
  return createServer(connectNodeAdapter({
    routes: (router) => { for (const addRoutes of slices) addRoutes(router) }
  }))
}
