import type { Bucket } from '../limits/LimitsState'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

/** Rounding error that sums of fractions may have. */
const TOLERANCE = 1e-6

/**
 * I5, owner: what the owner keeps and what it has granted add up to one whole sub-limit, it has granted no more than
 * its own, and its level stays within its part of the burst.
 *
 * @param state - the state after the step; the list of buckets that the step touched is cleared
 * @throws InvariantError when shares or tokens have been made out of nothing
 * @internal
 */
export function assertSharesConserved (state: NodeState): void {
  const { buckets } = state.limits.touched
  if (buckets.size === 0) return
  for (const bucket of buckets) assertBucket(bucket)
  buckets.clear()
}

function assertBucket ({ team, share, room, level, burst, grants }: Bucket): void {
  let shares = share
  let rooms = room
  for (const grant of grants.values()) {
    if (grant.share < 0 || grant.room < 0) throw new InvariantError('I5', `a negative grant of ${team}`)
    shares += grant.share
    rooms += grant.room
  }
  if (share < -TOLERANCE || room < -TOLERANCE) throw new InvariantError('I5', `more of ${team} granted than owned`)
  if (Math.abs(shares - 1) > TOLERANCE) throw new InvariantError('I5', `shares of ${team} add up to ${shares}`)
  if (Math.abs(rooms - 1) > TOLERANCE) throw new InvariantError('I5', `burst shares of ${team} add up to ${rooms}`)
  if (level < -TOLERANCE || level > room * burst + TOLERANCE) {
    throw new InvariantError('I5', `${level} tokens of ${team} in room for ${room * burst}`)
  }
}
