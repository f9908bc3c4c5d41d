import { millis } from '@lavenderturn/types'

/** How long a granted slot waits for its request; a machine whose quota is used up stands still for 100 ms. */
export const GRANT_TIMEOUT = millis(400)

/** How long a granted slot waits for the rest of a request whose head has arrived; slow links take long for uploads. */
export const BODY_TIMEOUT = millis(3_000)

/** How long work goes on after the connection to its gateway broke, so that the gateway can come back for it. */
export const DETACHED_TIMEOUT = millis(350)

/** How long a result is kept for a gateway whose connection broke. */
export const RESULT_RETENTION = millis(4_000)

/** Pause before the first trial of a suspect server, and after a trial that succeeded. */
export const MIN_TRIAL_INTERVAL = millis(50)

/** Pause after the first failed trial; it doubles with each further one. */
export const FAILED_TRIAL_BACKOFF = millis(300)

/** The longest pause between two trials. */
export const MAX_TRIAL_BACKOFF = millis(1_500)

/** A trial whose result is missing for this long no longer keeps others from starting. */
export const TRIAL_TIMEOUT = millis(1_000)

/** Announcements that may be missing before a server counts as gone. */
export const MAX_MISSED_ANNOUNCEMENTS = 4

/** Window over which the rate of requests to a cold server is bounded. */
export const COLD_WINDOW = millis(1_000)

/** Work is overdue after this multiple of its route's usual time. */
export const OVERDUE_FACTOR = 4

/** Work is never overdue before this time. */
export const MIN_OVERDUE_DELAY = millis(600)

/** Usual service time of a route that has not run yet. */
export const DEFAULT_SERVICE_MS = 500

/** How long after a broken run a crash of the server is put down to it. */
export const CRASH_WINDOW = millis(5_000)

/** Time within which a server answers a failure that one of its own calls has caused. */
export const CALL_FAILURE_WINDOW = millis(40)
