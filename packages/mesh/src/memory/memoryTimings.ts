import { millis } from '@lavenderturn/types'

/**
 * A body is read as long as it holds less than this multiple of the memory that is free (dynamic threshold). Each
 * further large body gets less, so that some memory always remains for the next.
 */
export const THRESHOLD_FACTOR = 3

/** The multiple for the body of a request; the largest one may use all that is free. */
export const RECEIVING_FACTOR = 0.5

/** While all other bodies together hold no more than this share of the memory, one body may use the rest. */
export const CALM_SHARE = 0.1

/** A body that holds no more than this is always read, so that every response makes progress. */
export const MIN_WINDOW_BYTES = 65_536

/** What Node holds besides for a body that exceeds its window: a read buffer of the connection, and the streams'. */
export const OVERHEAD_BYTES = 65_536

/** Share of the memory from which on bodies that do not move are given up. */
export const PRESSURE_SHARE = 0.5

/**
 * Share of the memory that may be free and uncollected. The engine by itself collects buffers only after 64 MB of them
 * are free, a quarter of the memory of the smallest machine.
 */
export const UNCOLLECTED_SHARE = 0.15

/** Interval between sweeps while memory is short. */
export const SWEEP_INTERVAL = millis(500)

/** Time that the body of a request waits for memory before another one is refused. */
export const MAX_BODY_PAUSE = millis(1_000)

/** Lowest rate of a caller or a node that receives or sends a body while memory is short. */
export const MIN_BYTES_PER_SECOND = 16_384

/** Time below the lowest rate after which a body is given up. Longer than machines are cut off for a moment. */
export const SLOW_TIMEOUT = millis(10_000)
