import { type Millis, millis, type ResultCodeName, resultCodes } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { GatewayRequest } from './GatewayState'
import { endRequest } from './endRequest'

/** When callers may retry after a refusal whose cause is temporary. @public */
export const DEFAULT_RETRY_AFTER = millis(400)

/** @internal */
export interface Refusal {
  readonly result: ResultCodeName
  readonly retryAfter?: Millis
}

/**
 * Ends a request with a result that this node produced itself. A result that states "not run" becomes an unknown
 * outcome if a backend server may have run the request. An error answer from a backend server takes precedence over
 * both.
 *
 * @param state - the node's state
 * @param request - the request
 * @param refusal - the result and when the caller may retry
 * @returns effects
 * @internal
 */
export function refuseRequest (
  state: MeshState,
  request: GatewayRequest,
  { result, retryAfter = DEFAULT_RETRY_AFTER }: Refusal
): MeshEffect[] {
  const { id: requestId, failedAnswer } = request
  if (failedAnswer !== undefined) {
    return [
      { slice: 'gateway', type: 'relay', requestId, reservation: failedAnswer },
      ...endRequest(state, request, { result, relayed: true, failed: true })
    ]
  }
  const reported = resultCodes[result].run === 'not-run' && request.mayHaveRun ? 'outcomeUnknown' : result
  return [
    { slice: 'gateway', type: 'refuse', requestId, result: reported, retryAfter },
    ...endRequest(state, request, { result: reported, failed: true })
  ]
}
