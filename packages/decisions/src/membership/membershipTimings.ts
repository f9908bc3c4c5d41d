import { millis } from '@lavenderturn/types'

/**
 * Interval between gossip rounds. In a data centre of 173 nodes, a change or a heartbeat reaches every node in about
 * six rounds, well within the freshness bound of 2.5 s.
 */
export const GOSSIP_INTERVAL = millis(250)

/** Interval between probes; each round probes one member. */
export const PROBE_INTERVAL = millis(1_000)

/**
 * Timeout of a direct or indirect probe. Both must fit into `PROBE_INTERVAL`: with 500 ms, the next probe replaced the
 * one in progress before its target was suspected.
 */
export const PROBE_TIMEOUT = millis(400)

/** Time within which a suspect member must refute the suspicion before it is declared dead. */
export const SUSPICION_TIMEOUT = millis(3_000)

/** Number of members that are requested to probe a target that did not answer. */
export const INDIRECT_PROBE_COUNT = 3

/** Maximum number of member changes in one message. */
export const MAX_CHANGES_PER_MESSAGE = 8

/** Number of transmissions of each change per doubling of the member count. */
export const TRANSMISSIONS_PER_DOUBLING = 3

/** Minimum interval between requests for a whole member list, which is about 400 KB with 2,600 members. */
export const FULL_EXCHANGE_INTERVAL = millis(60_000)

/** How long a dead member is kept; it counts towards the majority during this time. */
export const DEAD_RETENTION = millis(24 * 60 * 60 * 1_000)

/** How long a member that left is kept, so that late gossip does not add it again. */
export const LEFT_RETENTION = millis(60 * 60 * 1_000)

/** Number of peers to which a change of this node is pushed immediately. */
export const PUSH_FANOUT = 4
