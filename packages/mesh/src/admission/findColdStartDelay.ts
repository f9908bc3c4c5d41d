import { millis, type Millis } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'
import { COLD_WINDOW } from './admissionTimings'
import { countReservations } from './countReservations'

/** Requests of the bound that are left out, for clocks that are not quite in step. */
const COLD_LIMIT_MARGIN = 2

/** A warm server gets no more than this multiple of the bound. */
const WARM_LIMIT_FACTOR = 3

/** How late an announcement may be before the one before it counts as old. */
const ANNOUNCEMENT_TOLERANCE = millis(400)

/** How long a success shows that the server has been up. */
const SUCCESS_VALIDITY = millis(500)

/**
 * The longest pause between two requests in which a server cannot well have come back cold unnoticed: it is as long as
 * the bound itself makes a busy server wait.
 */
const MAX_IDLE_PAUSE = millis(900)

/** How long a server must have been busy before it is taken to be warm. */
const MIN_BUSY_TIME = millis(1_000)

/**
 * Tells how long the next request has to wait so that the server, should it be cold, gets no more than it bears.
 * Servers may turn cold without a sign. Only one that has been busy all along is taken to be warm, and no longer than
 * until its next announcement is due.
 *
 * @param state - the node's state
 * @returns 0 if a request may be sent now
 * @internal
 */
export function findColdStartDelay (state: MeshState): Millis {
  const { admission, now } = state
  const times = admission.dispatchTimes
  while (times.length > 0 && now - times[0]! >= COLD_WINDOW) times.shift()
  const limit = findRequestLimit(state)
  if (times.length + countReservations(admission, 'granted') < limit) return millis(0)
  const oldest = times[0] ?? now
  return millis(Math.max(1, oldest + COLD_WINDOW - now))
}

function findRequestLimit (state: MeshState): number {
  const { admission, bounds, configuration, identity, now } = state
  const coldRate = configuration.current?.services.get(identity.service)?.coldRatePerSecond ?? 0
  if (coldRate === 0) return Number.POSITIVE_INFINITY
  const isCold = now < (admission.server?.coldUntil ?? 0)
  if (isCold) return Math.max(1, Math.floor(coldRate))
  const coldLimit = Math.max(1, Math.floor(coldRate * bounds.coldOver + bounds.coldSlack) - COLD_LIMIT_MARGIN)
  return isWarm(state) ? coldLimit * WARM_LIMIT_FACTOR : coldLimit
}

/**
 * Servers turn cold when they start, come back or were taken out. One that answers, and has announced itself as warm
 * since anything broke, is taken to be warm.
 */
function isWarm ({ admission, bounds, now }: MeshState): boolean {
  const { server, busySince, lastDisruptionAt, dispatchTimes, lastSuccessAt } = admission
  if (server === undefined || server.lastAnnouncedAt <= lastDisruptionAt) return false
  if (now - busySince < MIN_BUSY_TIME || now - (dispatchTimes.at(-1) ?? 0) > MAX_IDLE_PAUSE) return false
  const isAnnouncementRecent = now - server.lastAnnouncedAt < bounds.announceInterval + ANNOUNCEMENT_TOLERANCE
  return isAnnouncementRecent && now - lastSuccessAt < SUCCESS_VALIDITY
}

/**
 * Notes a request that is sent to the backend server.
 *
 * @param state - the node's state
 * @internal
 */
export function recordDispatch ({ admission, now }: MeshState): void {
  const { dispatchTimes } = admission
  if (now - (dispatchTimes.at(-1) ?? 0) > MAX_IDLE_PAUSE) admission.busySince = now
  dispatchTimes.push(now)
}
