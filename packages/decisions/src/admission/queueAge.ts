import { millis } from '@lavenderturn/types'

/**
 * How long work may wait in a queue before it is handed back to its gateway, which checks the key again. A withdrawn
 * key must stop working within 3 s; the other 0.5 s are for the wait for a token (250 ms) and the forward.
 */
export const MAX_QUEUE_AGE = millis(2_500)
