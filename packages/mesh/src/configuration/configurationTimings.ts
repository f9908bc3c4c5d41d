import { millis } from '@lavenderturn/types'

/**
 * Time for which an evacuation that a restored store lacks still holds, so that operators can write it again before
 * requests reach the data centre.
 */
export const LOST_EVACUATION_TIME = millis(10_000)

/** Interval between queries for the confirmations of other nodes. */
export const QUERY_INTERVAL = millis(500)

/**
 * Age up to which the confirmation of a node that follows the store counts as current. Longer than its calls wait for a
 * change, and short enough that its replacement learns of a change within the bound for configurations.
 */
export const CURRENT_AGE = millis(1_300)

/** Time without any reply after which a node follows the store itself, because it may be cut off from the others. */
export const ISOLATION_TIMEOUT = millis(1_200)

/** Time for which a fetch of a configuration from another node may take before another one is started. */
export const FETCH_TIMEOUT = millis(600)

/**
 * Time after the first report of a later revision from which heartbeats start fetches. Replies to queries usually bring
 * it before, and spread the fetches over the nodes that have it.
 */
export const REPORT_GRACE = millis(600)

/** Nodes of a data centre that follow the store, at least; two, so that one may fail. */
export const MIN_FOLLOWERS = 2

/** Nodes for each node that follows the store, so that the queries that one answers are bounded. */
export const NODES_PER_FOLLOWER = 50

/**
 * Nodes of a data centre that try to follow a store that does not serve them. More would only add calls while the store
 * is down for all, and fewer may all be among those that it turns away.
 */
export const MAX_UNSERVED_FOLLOWERS = 4

/** Nodes queried in one round, and in one round while this node's own confirmation is not current. */
export const QUERIES = { current: 2, outdated: 4 }
