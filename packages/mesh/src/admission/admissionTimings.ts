import { millis } from '@lavenderturn/types'

/** Time that a granted slot waits for its request. A machine that has used up its CPU quota stalls for 100 ms. */
export const GRANT_TIMEOUT = millis(400)

/**
 * Time that a granted slot waits for the body of a request whose head was received. Uploads over slow links take long.
 */
export const BODY_TIMEOUT = millis(3_000)

/** Time that work continues after the connection to its gateway was lost, so that the gateway can reconnect. */
export const DETACHED_TIMEOUT = millis(350)

/** Time that a result is kept for a gateway whose connection was lost. */
export const RESULT_RETENTION = millis(4_000)

/** Delay before the first trial of a suspect server, and after a successful trial. */
export const MIN_TRIAL_INTERVAL = millis(50)

/** Delay after the first failed trial. Doubles with each further failure. */
export const FAILED_TRIAL_BACKOFF = millis(300)

/**
 * Time without a request after which a sound server is due for one, whatever its mean service time. A server that is
 * sound must get a request within 2 s.
 */
export const REFRESH_INTERVAL = millis(1_000)

/** Longest delay between two trials. */
export const MAX_TRIAL_BACKOFF = millis(1_200)

/**
 * Time after which a trial that is due may be made with a request that cannot be retried. Such a trial usually costs a
 * caller its request, so it is made only where no other request has come. Together with `MAX_TRIAL_BACKOFF` it stays
 * below 4 s: a server counts as sound 2 s after its last failure, and must get a request within 2 s from then.
 */
export const TRIAL_OVERDUE = millis(2_500)

/**
 * Time after which other data centres may make a trial that is due. Heartbeats then go to all nodes.
 * Shorter times raised the traffic between data centres by a third on a deployment with half of its servers suspect.
 */
export const REMOTE_TRIAL_OVERDUE = millis(1_000)

/** Time after which a trial without a result no longer blocks the next one. */
export const TRIAL_TIMEOUT = millis(1_000)

/** Pause before the record of a departure is written again. */
export const DEPARTURE_RETRY_DELAY = millis(500)

/** Missed announcement intervals after which a server counts as gone. */
export const MAX_MISSED_ANNOUNCEMENTS = 4

/** Window in which the number of requests to a cold server is limited. */
export const COLD_WINDOW = millis(1_000)

/** Work is overdue after this multiple of its route's usual service time. */
export const OVERDUE_FACTOR = 4

/** Shortest time after which work is overdue. */
export const MIN_OVERDUE_DELAY = millis(600)

/** Assumed service time of a route that has not run yet. */
export const DEFAULT_SERVICE_MS = 500

/** Time after a broken run within which a detected crash is attributed to it. */
export const CRASH_WINDOW = millis(5_000)

/** Time within which a server returns an error caused by a failed call of its own. */
export const CALL_FAILURE_WINDOW = millis(40)
