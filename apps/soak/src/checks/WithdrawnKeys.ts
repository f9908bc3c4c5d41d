import type { SoakState } from '../SoakState'
import { BOUNDS } from '../soakTimings'
import { InvariantCheck } from './InvariantCheck'

/** Checks that no node accepts a withdrawn key after the time limit, even if it is cut off from updates. @public */
export class WithdrawnKeys extends InvariantCheck {
  override readonly name = 'withdrawn keys'

  override checkFinalState ({ requests, keys }: SoakState): string[] {
    const withdrawn = new Map(keys.map(({ text, withdrawnAt }) => [text, withdrawnAt]))
    return [...requests.values()].flatMap(({ id, key, sentAt, runs }) => {
      const since = withdrawn.get(key)
      if (since === undefined || runs.length === 0) return []
      const late = sentAt - since
      return late > BOUNDS.revokeMs ? [`${id} ran with a key withdrawn ${late} ms before`] : []
    })
  }
}
