import type { SoakState } from '../SoakState'
import { InvariantCheck } from './InvariantCheck'

/** Checks that a request whose refusal says "not run" did not run before the refusal and does not run later. @public */
export class RefusalAccuracy extends InvariantCheck {
  override readonly name = 'true refusals'

  override checkFinalState ({ requests }: SoakState): string[] {
    return [...requests.values()]
      .filter(({ result, runs }) => result?.kind === 'refusal' && result.notRun && runs.length > 0)
      .map(({ id, runs }) => `${id} was said not to have run, and ran on ${runs.map(({ node }) => node).join()}`)
  }
}
