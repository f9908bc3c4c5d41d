import { millis } from '@lavenderturn/types'

/** How long a key that ran is refused. */
export const RETENTION = millis(3_600_000)

/**
 * Owners keep records this much longer: a run starts after its claim is recorded, and copies of a record are made at
 * different times.
 */
export const RETENTION_MARGIN = millis(60_000)

/** How long a released record stops late copies of its claim; longer than any call takes. */
export const RELEASED_RETENTION = millis(10_000)

/** Owners that have not recorded a claim after this time are asked again. */
export const CLAIM_RETRY = millis(150)

/** A claim without a majority is given up after this time. */
export const CLAIM_TIMEOUT = millis(500)

/** A settlement without confirmation is sent again after this time. */
export const SETTLE_RETRY = millis(1_000)

/** Settlements are given up after this many tries; owners then report the run as unknown. */
export const SETTLE_TRIES = 30

/** Copying that has not finished is tried again after this time. */
export const COPY_RETRY = millis(1_000)

/** A predecessor that has not answered this often is gone; the other owners are asked instead. */
export const PREDECESSOR_TRIES = 5

/** How long a node that leaves waits for successors to copy its records. */
export const LEAVE_TIMEOUT = millis(10_000)

/** Records a node holds at most; about 30 MB. A full table refuses new claims and drops nothing early. */
export const RECORD_LIMIT = 100_000

/** Records in one page of a copy; about 50 KB. */
export const COPY_PAGE = 500

/** How often expired records are dropped. */
export const RECORD_SWEEP_INTERVAL = millis(60_000)
