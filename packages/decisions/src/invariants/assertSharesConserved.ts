import type { Bucket } from '../limits/LimitsState'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

/** Tolerated rounding error in sums of fractions. */
const TOLERANCE = 1e-6

/**
 * I5, owner: the owner's share and the granted shares of a sub-limit add up to 1, no share is negative, and the owner's
 * tokens do not exceed its share of the burst.
 *
 * @param state - the state after the step; its list of changed buckets is cleared
 * @throws InvariantError if the shares or tokens are inconsistent
 * @internal
 */
export function assertSharesConserved (state: NodeState): void {
  const { buckets } = state.limits.touched
  if (buckets.size === 0) return
  for (const bucket of buckets) assertBucket(bucket)
  buckets.clear()
}

function assertBucket ({ team, share, room, level, burst, grants }: Bucket): void {
  let rateSum = share
  let burstSum = room
  for (const grant of grants.values()) {
    if (grant.share < 0 || grant.room < 0) throw new InvariantError('I5', `a grant of team ${team} is negative`)
    rateSum += grant.share
    burstSum += grant.room
  }
  if (share < -TOLERANCE || room < -TOLERANCE) throw new InvariantError('I5', `team ${team} is over-granted`)
  if (Math.abs(rateSum - 1) > TOLERANCE) throw new InvariantError('I5', `rate shares of ${team} add up to ${rateSum}`)
  if (Math.abs(burstSum - 1) > TOLERANCE) throw new InvariantError('I5', `burst shares of ${team} add up to ${burstSum}`)
  if (level < -TOLERANCE || level > room * burst + TOLERANCE) {
    throw new InvariantError(
      'I5', `${level} tokens of team ${team} are outside the bucket's range of 0 to ${room * burst}`
    )
  }
}
