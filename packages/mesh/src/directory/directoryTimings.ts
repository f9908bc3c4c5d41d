import { millis } from '@lavenderturn/types'

/** Time between two beats within a data centre. */
export const HEARTBEAT_INTERVAL = millis(500)

/** Every how manieth beat goes to other data centres as well, where bytes cost the most. */
export const REMOTE_HEARTBEAT_EVERY = 4

/** Silence after which a node counts as gone: more than two beats to other data centres. */
export const ALIVE_TIMEOUT = millis(5_000)

/**
 * Silence after which a keeper of a team's rate no longer gives out the share of a node, in its own and in another data
 * centre. It is short: the node may use its share by itself, or with another keeper, once it is cut off.
 */
export const REACHABLE_TIMEOUT = { sameDataCentre: millis(1_600), otherDataCentre: millis(2_600) }

/** Silence after which a node no longer counts towards the fleet's size; longer than usual partitions. */
export const REMOVAL_TIMEOUT = millis(20_000)

/** Time between two readings of the registry; nodes that found each other need it only after lost datagrams. */
export const REGISTRY_INTERVAL = millis(30_000)

/** Time after the start until the registry is read once more: the record of a node may have been written late. */
export const SECOND_REGISTRY_READ_DELAY = millis(4_000)
