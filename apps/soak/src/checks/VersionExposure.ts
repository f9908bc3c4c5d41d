import type { SoakEvent } from '../SoakEvent'
import type { SoakState } from '../SoakState'
import { BOUNDS } from '../soakTimings'
import { InvariantCheck } from './InvariantCheck'

/** Share of errors from which a version is bad. */
const BAD_ERROR_SHARE = 0.3

/** Checks that a bad version gets no more requests than the bound allows, and is not completed. @public */
export class VersionExposure extends InvariantCheck {
  override readonly name = 'versions'
  private runs = 0
  private newRuns = 0
  private isActive = false

  override checkEvent (state: SoakState, event: SoakEvent): string[] {
    const { rollOut } = state
    if (rollOut === undefined) return []
    if (event.type === 'rollOutRead') {
      this.isActive = false
      return rollOut.errorShare >= BAD_ERROR_SHARE ? this.checkRollOut(event.status) : []
    }
    if (event.type === 'actionDue' && state.plan[event.index]?.action.kind === 'rollOut') this.isActive = true
    if (event.type !== 'runStarted' || !this.isActive) return []
    this.runs += 1
    if (state.servers.get(event.node)!.version === rollOut.version) this.newRuns += 1
    return []
  }

  private checkRollOut (status: string | undefined): string[] {
    const violations = status === 'completed' ? ['a bad version was completed'] : []
    const limit = this.runs * BOUNDS.exposeShare + BOUNDS.exposeSlack
    if (this.newRuns <= limit) return violations
    return [...violations, `a bad version got ${this.newRuns} of ${this.runs} requests`]
  }
}
