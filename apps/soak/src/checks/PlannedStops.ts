import type { SoakEvent } from '../SoakEvent'
import type { SoakState } from '../SoakState'
import { BOUNDS, MEASUREMENT_TOLERANCE } from '../soakTimings'
import { InvariantCheck } from './InvariantCheck'

/** Checks that a planned stop ends within its grace period, and that no process ends by itself. @public */
export class PlannedStops extends InvariantCheck {
  override readonly name = 'planned stops'

  override checkEvent (state: SoakState, event: SoakEvent): string[] {
    if (event.type !== 'nodeExited') return []
    const { node, code, signal, at } = event
    if (signal === 'SIGKILL') return []
    const { stopRequestedAt } = state.nodes.get(node)!
    if (code !== 0) return [`${node} ended with code ${code ?? signal}`]
    if (stopRequestedAt === undefined) return [`${node} ended by itself`]
    const took = at - stopRequestedAt
    return took > BOUNDS.graceMs + MEASUREMENT_TOLERANCE ? [`${node} took ${took} ms to stop`] : []
  }
}
