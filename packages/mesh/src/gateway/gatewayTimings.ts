import { millis } from '@lavenderturn/types'

/** How long an answer to a question may take: some milliseconds, more on a machine whose quota is used up. */
export const PEER_REPLY_TIMEOUT = millis(70)

/** Questions for a slot that may be open at a time. */
export const MAX_SLOT_REQUESTS = 2

/** Questions that may be open once suspect servers are asked as well. */
export const MAX_SLOT_REQUESTS_WITH_SUSPECTS = 4

/** Part of a route's target for which a request waits for a sound server before it takes a suspect one. */
export const HEALTHY_WAIT_SHARE = 0.25

/** Pause before the next round when every candidate has refused. */
export const ROUND_PAUSE = millis(60)

/** Keepers of a team's rate that are asked for one request. */
export const MAX_OWNERS = 4

/** Time for which answers of keepers are still waited for once all were asked: longer than a machine stands still. */
export const LATE_TOKEN_WAIT = millis(250)

/** The longest wait for a token; shorter than what callers notice. */
export const MAX_TOKEN_WAIT = millis(150)

/** Time after which an attempt that was not reported as started is asked for. */
export const RECALL_DELAY = millis(200)

/** Time between two questions for the same attempt. */
export const RECALL_INTERVAL = millis(250)

/** Time for which the answer of a broken attempt is sought before its outcome counts as unknown. */
export const RECOVERY_TIMEOUT = millis(1_500)

/** Bytes of a body that a slow link takes in one millisecond. */
export const SLOW_LINK_BYTES_PER_MS = 500

/** An attempt that may be repeated goes to another server after this multiple of the usual time. */
export const SWITCH_DELAY_FACTOR = 2.5

/** It never does so before this time. */
export const MIN_SWITCH_DELAY = millis(300)

/** Usual time of a route that has not been answered yet. */
export const DEFAULT_ROUTE_TIME_MS = 500

/** Part of a request's time that it may wait for a slot. */
export const MAX_WAIT_SHARE = 0.75

/** Rounds that a request waits for another server while it holds the failure that one has answered. */
export const MAX_ROUNDS_WITH_FAILED_ANSWER = 2
