import { millis } from '@lavenderturn/types'

/**
 * Interval between exchanges of gossip. In a data centre of 173 nodes a change or a heartbeat reaches every node in
 * about six rounds, which leaves room within the freshness bound of 2.5 s.
 */
export const GOSSIP_INTERVAL = millis(250)

/** Interval between probes of one random member. */
export const PROBE_INTERVAL = millis(1_000)

/**
 * Time that a probe, direct or indirect, may take. Both must fit into `PROBE_INTERVAL`: with 500 ms the next probe
 * replaced the one in progress before its target was suspected.
 */
export const PROBE_TIMEOUT = millis(400)

/** Time that a suspected member has to refute before it is declared dead. */
export const SUSPICION_TIMEOUT = millis(3_000)

/** Members asked to probe a target that has not answered. */
export const INDIRECT_PROBE_COUNT = 3

/** Changes that ride on one message. */
export const MAX_CHANGES_PER_MESSAGE = 8

/** Each change rides on this many messages per doubling of the member count. */
export const TRANSMISSIONS_PER_DOUBLING = 3

/** Least time between requests for a whole member list, which is about 400 KB at 2,600 members. */
export const FULL_EXCHANGE_INTERVAL = millis(60_000)

/** A crashed member counts towards the majority for this long. */
export const DEAD_RETENTION = millis(24 * 60 * 60 * 1_000)

/** A member that left is remembered for this long, so that late gossip does not bring it back. */
export const LEFT_RETENTION = millis(60 * 60 * 1_000)

/** Peers that are told at once of a change of this node. */
export const PUSH_FANOUT = 4
