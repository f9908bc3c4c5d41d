import type { SoakEvent } from '../SoakEvent'
import type { SoakState } from '../SoakState'
import { InvariantCheck } from './InvariantCheck'

/** Checks that each response is complete, belongs to the request of its caller, and follows a run of it. @public */
export class ResponseIntegrity extends InvariantCheck {
  override readonly name = 'whole answers'

  override checkEvent (state: SoakState, event: SoakEvent): string[] {
    if (event.type !== 'requestEnded' || event.result.kind !== 'answer') return []
    const { requestId, result } = event
    if (result.requestId !== requestId) return [`${requestId} got the answer of ${result.requestId}`]
    if (!result.whole) return [`${requestId} got an answer that is not whole`]
    return state.requests.get(requestId)!.runs.length === 0 ? [`${requestId} was answered and did not run`] : []
  }
}
