import { millis } from '@lavenderturn/types'

/**
 * Maximum time in a queue. Older work is rejected, and its gateway checks the key again. A withdrawn key must stop
 * working within 3 s; the remaining 0.5 s cover the wait for a token (250 ms) and the forwarding.
 */
export const MAX_QUEUE_AGE = millis(2_500)
