import { millis } from '@lavenderturn/types'

/** How long a key is refused after its request ran. */
export const RETENTION = millis(3_600_000)

/**
 * Owners keep records this much longer than `RETENTION`, because a request runs after its claim was recorded, and
 * records are copied at different times.
 */
export const RETENTION_MARGIN = millis(60_000)

/** How long a released record blocks delayed messages of its claim. Exceeds the duration of any call. */
export const RELEASED_RETENTION = millis(10_000)

/** Interval at which a claim is sent again to owners that have not recorded it. */
export const CLAIM_RETRY_INTERVAL = millis(150)

/** Time after which a claim without a majority is abandoned. */
export const CLAIM_TIMEOUT = millis(500)

/** Interval at which a settlement is sent again to owners that have not confirmed it. */
export const SETTLE_RETRY_INTERVAL = millis(1_000)

/** Attempts after which a settlement is abandoned; owners then report the outcome of the run as unknown. */
export const MAX_SETTLE_ATTEMPTS = 30

/** Interval at which an incomplete copy is retried. */
export const COPY_RETRY_INTERVAL = millis(1_000)

/**
 * Unanswered requests after which the predecessor counts as lost, and records are copied from the other owners instead.
 */
export const MAX_PREDECESSOR_ATTEMPTS = 5

/** How long a leaving node waits for its successors to copy its records. */
export const LEAVE_TIMEOUT = millis(10_000)

/**
 * Maximum number of records of a node, about 30 MB. A full node refuses new claims; it never evicts unexpired records.
 */
export const MAX_RECORDS = 100_000

/** Maximum number of records in one page of a copy, about 50 KB. */
export const COPY_PAGE_SIZE = 500

/** Interval at which expired records are deleted. */
export const RECORD_SWEEP_INTERVAL = millis(60_000)
