import { GREEDY_TEAM, type SoakState } from '../SoakState'
import { GREEDY_BURST, GREEDY_RATE } from '../soakTimings'
import { InvariantCheck } from './InvariantCheck'

/** Window in which requests are counted, and the tolerance beyond rate and burst, as the requirements define them. */
const WINDOW_MS = 5_000
const RATE_TOLERANCE = 1.1
const REQUEST_TOLERANCE = 20

const LIMIT = (GREEDY_RATE * WINDOW_MS / 1_000 + GREEDY_BURST) * RATE_TOLERANCE + REQUEST_TOLERANCE

/** Checks that the rate of a team holds in every window, summed over all nodes. @public */
export class RateLimits extends InvariantCheck {
  override readonly name = 'rate'

  override checkFinalState ({ requests }: SoakState): string[] {
    // A request that was retried after a loss counts once.
    const times = [...requests.values()]
      .flatMap(({ team, runs }) => team === GREEDY_TEAM && runs.length > 0 ? [runs[0]!.at] : [])
      .sort((left, right) => left - right)
    let first = 0
    let maximum = { count: 0, at: 0 }
    for (const [index, at] of times.entries()) {
      while (at - times[first]! >= WINDOW_MS) first += 1
      if (index - first + 1 > maximum.count) maximum = { count: index - first + 1, at }
    }
    return maximum.count > LIMIT ? [`${maximum.count} requests in the window that ends at ${maximum.at}, ${LIMIT} allowed`] : []
  }
}
