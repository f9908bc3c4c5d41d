import type { SoakEvent } from '../SoakEvent'
import type { SoakState } from '../SoakState'
import { BOUNDS, MEASUREMENT_TOLERANCE } from '../soakTimings'
import { overlapsDisturbance } from './overlapsDisturbance'
import { InvariantCheck } from './InvariantCheck'

/**
 * Checks that draining servers, and servers of an evacuated data centre, receive no requests after the time limit.
 *
 * @public
 */
export class DrainAndEvacuation extends InvariantCheck {
  override readonly name = 'departures'

  override checkEvent (state: SoakState, event: SoakEvent): string[] {
    if (event.type !== 'runStarted') return []
    const { node, requestId, at } = event
    const { drainedAt, status } = state.servers.get(node)!
    if (status === 'draining' && drainedAt !== undefined && at - drainedAt > BOUNDS.drainMs + MEASUREMENT_TOLERANCE) {
      return [`${requestId} started at the server of ${node} ${at - drainedAt} ms after its leaving was acknowledged`]
    }
    const outAt = state.evacuated.get(state.nodes.get(node)!.dataCentre)
    const limit = BOUNDS.evacuationMs + MEASUREMENT_TOLERANCE
    // A node learns of an evacuation from the store, so a store fault within the interval excuses it.
    if (outAt === undefined || at - outAt <= limit || overlapsDisturbance(state.storeDisturbances, outAt, at)) return []
    return [`${requestId} started at ${node} ${at - outAt} ms after its data centre was taken out`]
  }
}
