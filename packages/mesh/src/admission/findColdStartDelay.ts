import { millis, type Millis } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'
import { COLD_WINDOW } from './admissionTimings'
import { countReservations } from './countReservations'
import { recordLimitedRequest } from './findLimitDelay'
import { recordExposure } from '../rollout/recordVersionResult'

/**
 * Requests per second that a cold server gets while the configuration does not tell its rate, because that part of it
 * could not be read.
 */
const UNKNOWN_COLD_RATE = 1

/** Requests subtracted from the allowed number, to tolerate small differences between clocks. */
const COLD_LIMIT_MARGIN = 2

/** Limit of a warm server as a multiple of the cold limit. */
const WARM_LIMIT_FACTOR = 3

/** Tolerated delay of an announcement before the previous one counts as outdated. */
const ANNOUNCEMENT_TOLERANCE = millis(400)

/** Time for which a successful answer proves that the server is up. */
const SUCCESS_VALIDITY = millis(500)

/**
 * Longest pause between two requests in which a server is unlikely to have restarted unnoticed. It is as long as the
 * cold limit itself makes a busy server wait.
 */
const MAX_IDLE_PAUSE = millis(900)

/** Time that a server must have been busy before it counts as warm. */
const MIN_BUSY_TIME = millis(1_000)

/**
 * Finds how long the next request has to wait so that a server that may be cold is not overloaded. Servers may become
 * cold without notice, so only a continuously busy server counts as warm, and only until its next announcement is due.
 *
 * @param state - the node's state
 * @returns the delay; 0 if a request may be sent now
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
  const coldRate = configuration.current?.services.get(identity.service)?.coldRatePerSecond ?? UNKNOWN_COLD_RATE
  if (coldRate === 0) return Number.POSITIVE_INFINITY
  const isCold = now < (admission.server?.coldUntil ?? 0)
  if (isCold) return Math.max(1, Math.floor(coldRate))
  const coldLimit = Math.max(1, Math.floor(coldRate * bounds.coldOver + bounds.coldSlack) - COLD_LIMIT_MARGIN)
  return isWarm(state) ? coldLimit * WARM_LIMIT_FACTOR : coldLimit
}

/**
 * Servers become cold when they start, when they recover and after their data centre was evacuated. A server counts as
 * warm if it answers requests and has announced itself as warm since the latest disruption.
 */
function isWarm ({ admission, bounds, now }: MeshState): boolean {
  const { server, busySince, lastDisruptionAt, lastDispatchAt, lastSuccessAt } = admission
  if (server === undefined || server.lastAnnouncedAt <= lastDisruptionAt) return false
  if (now - busySince < MIN_BUSY_TIME || now - lastDispatchAt > MAX_IDLE_PAUSE) return false
  const isAnnouncementRecent = now - server.lastAnnouncedAt < bounds.announceInterval + ANNOUNCEMENT_TOLERANCE
  return isAnnouncementRecent && now - lastSuccessAt < SUCCESS_VALIDITY
}

/**
 * Records the dispatch of a request to the backend server.
 *
 * @param state - the node's state
 * @internal
 */
export function recordDispatch (state: MeshState): void {
  const { admission, now } = state
  if (now - admission.lastDispatchAt > MAX_IDLE_PAUSE) admission.busySince = now
  admission.lastDispatchAt = now
  admission.refusedSinceDispatch = 0
  admission.dispatchTimes.push(now)
  recordLimitedRequest(state)
  recordExposure(state)
}
