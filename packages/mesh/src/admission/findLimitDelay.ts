import { millis, type Millis } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'
import type { LocalServer } from './AdmissionState'
import { countReservations } from './countReservations'

/** A server that takes nothing gets one request in this time, so that the end of its limit is noticed. */
const MAX_INTERVAL = millis(4_000)

/** Time by which requests may come ahead of the server's rate, so that a late request does not lower the rate. */
const BURST_TOLERANCE = millis(500)

const MILLISECONDS_PER_SECOND = 1_000

/**
 * Finds the time between two requests of a server that has named a limit.
 *
 * @param server - the server
 * @returns the time; 0 without a limit
 * @internal
 */
export function findRequestInterval ({ requestLimit }: LocalServer): Millis {
  if (requestLimit === undefined) return millis(0)
  return millis(Math.min(MAX_INTERVAL, MILLISECONDS_PER_SECOND / requestLimit))
}

/**
 * Finds how long the next request has to wait so that the backend server gets no more requests than it says it takes.
 * This is the only way to the server, so the limit holds for the requests of all gateways together. Slots that are
 * granted count, since their requests follow.
 *
 * @param state - the node's state
 * @returns the delay; 0 if a request may be sent now
 * @internal
 */
export function findLimitDelay ({ admission, now }: MeshState): Millis {
  const { server } = admission
  if (server?.requestLimit === undefined) return millis(0)
  const granted = countReservations(admission, 'granted') * findRequestInterval(server)
  return millis(Math.max(0, Math.max(server.nextRequestAt, now) + granted - BURST_TOLERANCE - now))
}

/**
 * Records that a server with a limit gets a request.
 *
 * @param state - the node's state
 * @internal
 */
export function recordLimitedRequest ({ admission: { server }, now }: MeshState): void {
  if (server?.requestLimit === undefined) return
  server.nextRequestAt = millis(Math.max(server.nextRequestAt, now) + findRequestInterval(server))
}
