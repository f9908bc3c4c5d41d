import { millis } from '@lavenderturn/types'

/** How long a grant with a share of the rate is valid, measured by its holder from when it sent the grant request. */
export const GRANT_LIFETIME = millis(1_000)

/**
 * Lifetime of a grant without a share of the rate. It serves requests that wait now, and none waits longer. Its early
 * expiry returns the burst share to the owner without a message.
 */
export const SHARELESS_GRANT_LIFETIME = millis(250)

/** How long after the lifetime an owner reclaims a grant; covers clock drift between nodes. */
export const GRANT_EXPIRY_MARGIN = millis(100)

/** Maximum time that a request waits for a token. */
export const MAX_TOKEN_WAIT = millis(250)

/** When an owner has not answered a grant request after this time, other domains are asked too. */
export const OWNER_FALLBACK_DELAY = millis(50)

/**
 * How long an owner queues a patient grant request that it cannot serve. Queuing serves gateways in order of arrival
 * and saves them repeated requests. Shorter than `OWNER_FALLBACK_DELAY`, so that a queued request does not make the
 * owner look unresponsive.
 */
export const MAX_PENDING_TIME = millis(40)

/** A grant request times out after this time, which covers queuing at the owner and the latency to a remote region. */
export const GRANT_REQUEST_TIMEOUT = millis(400)

/** How long an owner that failed to answer is asked together with other domains instead of before them. */
export const UNRESPONSIVE_OWNER_PENALTY = millis(1_000)

/**
 * How long a new owner waits after a takeover before it issues grants: 3 s until the old owner learns of it or is no
 * longer fresh, plus the lifetime and expiry margin of the old owner's last grants.
 */
export const TAKEOVER_DELAY = millis(4_100)

/** A grant's burst share holds the refill of this time: half of the lifetime, so until the next renewal. */
export const REFILL_LOOKAHEAD = millis(500)

/**
 * A gateway requests tokens for the arrivals that it expects in this time, because arrivals are uneven. With 500 ms,
 * 16 gateways kept half of a team's burst idle while a burst at one of them was refused.
 */
export const TOKEN_PREFETCH_WINDOW = millis(100)

/** Up to this burst over all domains, a team's tokens are granted to one gateway at a time and only as whole tokens. */
export const SCARCE_BURST_TOKENS = 2

/**
 * An owner with less than this fraction of the burst is short of burst share: with more of it in grants, its own bucket
 * would overflow and lose tokens of a team that is within its rate.
 */
export const TIGHT_BURST_SHARE = 0.75
