import type { SoakState } from '../SoakState'
import { InvariantCheck } from './InvariantCheck'

/** Checks that a non-repeatable request runs at most once. @public */
export class AtMostOnce extends InvariantCheck {
  override readonly name = 'at most once'

  override checkFinalState ({ requests }: SoakState): string[] {
    return [...requests.values()]
      .filter(({ repeatable, runs }) => !repeatable && runs.length > 1)
      .map(({ id, runs }) => `${id} ran ${runs.length} times: ${runs.map(({ node }) => node).join()}`)
  }
}
