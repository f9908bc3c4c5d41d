import { millis } from '@lavenderturn/types'

/** How long a grant is good for, counted by its holder from when it asked. */
export const GRANT_LIFETIME = millis(1_000)

/**
 * Lifetime of a grant without a share of the rate. It serves requests that wait now, and none waits longer; the short
 * life gives the burst share back to the owner without a message.
 */
export const TOKENS_LIFETIME = millis(250)

/** What an owner waits beyond the lifetime before it takes a grant back; covers drift between clocks. */
export const GRANT_MARGIN = millis(100)

/** How long a request may wait for a token. */
export const TOKEN_WAIT = millis(250)

/** An owner that has not answered an ask after this time is passed over: the other domains are asked too. */
export const ASK_PATIENCE = millis(50)

/**
 * How long an owner keeps a patient ask that it cannot serve, so that gateways need not ask again and again and are
 * served in order. Shorter than `ASK_PATIENCE`, so that a held ask does not look like a silent owner.
 */
export const ASK_HOLD = millis(40)

/** An ask without an answer is given up after this time, which covers the owner's hold and a distant region. */
export const ASK_TIMEOUT = millis(400)

/** How long an owner that failed to answer is asked together with the others instead of before them. */
export const SILENT_OWNER_PENALTY = millis(1_000)

/**
 * What a new owner waits after a take-over: 3 s until the old owner knows or is not fresh, and the lifetime and
 * margin of its last grants.
 */
export const TAKE_OVER_WAIT = millis(4_100)

/** A grant has room for the fill of this time; half of the lifetime, so until the next renewal. */
export const LOOKAHEAD = millis(500)

/**
 * A grant starts with tokens for the requests of this time, because arrivals are uneven. With 500 ms, 16 gateways kept
 * half of a team's burst idle while a burst at one of them was refused.
 */
export const TOKENS_AHEAD = millis(100)

/** A team's burst, in all domains, up to which its tokens go to one gateway after another, and only whole ones. */
export const SCARCE_TOKENS = 2

/**
 * Part of the burst below which the owner is short of room: with more than the rest in grants, its own bucket would
 * overflow and lose tokens of a team that is inside its rate.
 */
export const TIGHT_ROOM = 0.75
