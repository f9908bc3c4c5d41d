import { millis } from '@lavenderturn/types'

/** Length of the interval in which the actions of a run start. */
export const FAULT_SPAN = millis(16_000)

/** Time limit for recovery after all faults, as the requirements define it. */
export const RECOVERY_TIME = millis(15_000)

/** Duration of the verification phase, in which every request must succeed. */
export const VERIFICATION_TIME = millis(3_000)

/** Delay before an exited node is restarted. */
export const RESTART_DELAY = millis(500)

/** Retry interval of operator actions during a fault of the store. */
export const OPERATOR_RETRY_INTERVAL = millis(300)

/** Interval between requests of the steady team. */
export const REQUEST_INTERVAL = millis(40)

/** Interval between requests of the greedy team; gives three times its rate. */
export const GREEDY_INTERVAL = millis(33)

/** Time that operators give a roll-out, and the time after which they look at its status. */
export const ROLL_OUT_TIME = millis(12_000)
export const ROLL_OUT_SPAN = millis(13_500)

/** Deadline of the callers for a response. */
export const CALLER_TIMEOUT = millis(2_000)

/** Rate (requests per second) and burst (requests) of the greedy team. */
export const GREEDY_RATE = 10
export const GREEDY_BURST = 10

/** Rate that a cold server can handle, and how long a server is cold after a start. */
export const COLD_RATE_PER_SECOND = 4
export const COLD_TIME = millis(3_000)

/** Time limits and tolerances: some are passed to the nodes in their settings, and the checks use them. */
export const BOUNDS = {
  revokeMs: 5_000,
  graceMs: 6_000,
  drainMs: 2_000,
  evacuationMs: 5_000,
  coldOver: 1.5,
  coldSlack: 5,
  exposeShare: 0.1,
  exposeSlack: 30,
  rollbackMs: 5_000
} as const

/** Tolerance for events that the soak records late while its own process waits for a core. */
export const MEASUREMENT_TOLERANCE = millis(250)
