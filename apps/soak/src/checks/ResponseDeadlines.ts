import type { SoakEvent } from '../SoakEvent'
import type { SoakState } from '../SoakState'
import { MEASUREMENT_TOLERANCE } from '../soakTimings'
import { overlapsDisturbance } from './overlapsDisturbance'
import { InvariantCheck } from './InvariantCheck'

/** Tolerated delay of a response after the deadline of the caller. */
const MAX_LATENESS_MS = 500

/** Checks that each caller gets a response by its deadline, unless the node that it called is disturbed. @public */
export class ResponseDeadlines extends InvariantCheck {
  override readonly name = 'final answers'

  override checkEvent (state: SoakState, event: SoakEvent): string[] {
    if (event.type !== 'requestEnded') return []
    const { id, node, sentAt, timeout } = state.requests.get(event.requestId)!
    if (overlapsDisturbance(state.nodes.get(node)!.disturbances, sentAt, event.at)) return []
    if (event.result.kind === 'cut') return [`${id} was cut by ${node}`]
    const late = event.at - sentAt - timeout
    return late > MAX_LATENESS_MS + MEASUREMENT_TOLERANCE ? [`${id} was answered ${late} ms after its deadline`] : []
  }
}
