import { millis } from '@lavenderturn/types'

/** Interval at which a conductor sends its step to the nodes of the service, and decides. */
export const CHECK_INTERVAL = millis(500)

/** Interval at which a node that does not conduct a roll-out reads its record. */
export const RECORD_READ_INTERVAL = millis(1_000)

/** Interval at which a conductor writes its record if nothing in it changes, so that others see that it is running. */
export const RECORD_WRITE_INTERVAL = millis(1_000)

/** Shortest time between two writes of a record, because calls to the store are billed. */
export const MIN_WRITE_INTERVAL = millis(700)

/** Time without a response after which a write counts as failed. */
export const WRITE_TIMEOUT = millis(2_000)

/**
 * Time without a change of the record after which another node conducts the roll-out. Longer than the interval of
 * writes and that of readings together take.
 */
export const TAKEOVER_TIMEOUT = millis(2_100)

/** Time after a conductor's step for which the record is not read. A single lost step causes no reading. */
export const STEP_VALIDITY = millis(1_100)

/** Time after which a new conductor has the reports of the nodes: two steps, the first of which may be lost. */
export const FIRST_REPORTS_TIME = millis(1_200)

/** Age up to which the report of a node counts as current. */
export const REPORT_VALIDITY = millis(1_600)

/**
 * Part of the bound for roll-backs for which an allowance holds after the node's report to which the conductor replied.
 */
export const LEASE_SHARE = 0.5

/**
 * Time for which the servers of other versions go on accepting requests beside those of a proven version, so that all
 * gateways learn that the latter accept them.
 */
export const OVERLAP = millis(800)

/** Time from the closing of the servers of other versions until the earliest completion. */
export const MIN_CLOSED_TIME = millis(700)

/** Part of an order's duration before which a version is not promoted, because faults may appear late. */
export const EARLIEST_PROMOTION = 0.45

/**
 * Time before the end of an order's duration at which a version that is not proven is rolled back. A promotion takes
 * nearly as long.
 */
export const DECISION_TIME = millis(3_400)

/** Time before the end at which the roll-out is completed although other versions still run requests. */
export const COMPLETION_TIME = millis(1_000)
