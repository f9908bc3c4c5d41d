import { millis } from '@lavenderturn/types'

/**
 * Time to wait for the reply to a slot or token request. Replies take a few milliseconds, and more on a machine that
 * has used up its CPU quota.
 */
export const PEER_REPLY_TIMEOUT = millis(70)

/** Slot requests that a request may have open at a time. */
export const MAX_SLOT_REQUESTS = 2

/** Slot requests that may be open at a time once suspect servers are accepted. */
export const MAX_SLOT_REQUESTS_WITH_SUSPECTS = 4

/** Share of a route's target time that a request waits for a healthy server before it accepts a suspect one. */
export const HEALTHY_WAIT_SHARE = 0.25

/** Pause before the next round after every candidate refused. */
export const ROUND_PAUSE = millis(60)

/** Owners of a team's rate that are asked for one request. */
export const MAX_OWNERS = 4

/** Additional wait for late replies after all owners were asked. Longer than a machine stalls on its CPU quota. */
export const LATE_TOKEN_WAIT = millis(250)

/** Longest wait for a token; short enough for callers not to notice. */
export const MAX_TOKEN_WAIT = millis(150)

/** Time to wait for the report that an attempt has started before its state is requested. */
export const RECALL_DELAY = millis(200)

/** Interval between requests for the state of the same attempt. */
export const RECALL_INTERVAL = millis(250)

/** Time to recover the answer of a lost attempt before its outcome counts as unknown. */
export const RECOVERY_TIMEOUT = millis(1_500)

/** Upload rate of a slow link. */
export const SLOW_LINK_BYTES_PER_MS = 500

/** A repeatable request is sent to another server after this multiple of the usual time. */
export const SWITCH_DELAY_FACTOR = 2.5

/** Shortest delay before a request is sent to another server. */
export const MIN_SWITCH_DELAY = millis(300)

/** Assumed usual time of a route that has not been answered yet. */
export const DEFAULT_ROUTE_TIME_MS = 500

/** Share of its total time that a request may wait for a slot. */
export const MAX_WAIT_SHARE = 0.75

/** Rounds that a request with an error answer waits for another server. */
export const MAX_ROUNDS_WITH_FAILED_ANSWER = 2
