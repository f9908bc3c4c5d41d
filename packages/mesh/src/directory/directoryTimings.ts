import { millis } from '@lavenderturn/types'

/** Interval between heartbeats within a data centre. */
export const HEARTBEAT_INTERVAL = millis(500)

/** One of this many heartbeats is also sent to other data centres, where traffic costs the most. */
export const REMOTE_HEARTBEAT_EVERY = 4

/** Silence after which a node no longer counts as alive. Longer than two heartbeat intervals between data centres. */
export const ALIVE_TIMEOUT = millis(5_000)

/**
 * Silence after which the owner of a team's rate no longer grants a node's share, for nodes in its own data centre and
 * in others. Short, because a partitioned node may use its share by itself or with another owner.
 */
export const REACHABLE_TIMEOUT = { sameDataCentre: millis(1_600), otherDataCentre: millis(2_600) }

/** Silence after which a node no longer counts towards the size of the fleet. Longer than usual partitions. */
export const REMOVAL_TIMEOUT = millis(20_000)

/**
 * Interval between reads of the registry. Nodes find each other at their start, because each writes its record before
 * it reads those of the others; later reads only remove what has left.
 */
export const REGISTRY_INTERVAL = millis(60_000)

/**
 * Nodes that write their records again in one heartbeat interval, on average, after the store was restored. Half of
 * what a store of the smallest deployments takes, which handles 400 writes a second.
 */
export const RECORDS_PER_INTERVAL = 100

/** Introductions to a node that does not reply. They are sent with the heartbeats to other data centres. */
export const MAX_HELLOS = 5
