import { type ResultName, resultCodes, type RunState } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { endRequest } from './endRequest'
import type { GatewayRequest } from './GatewayState'

/** @internal */
export interface RefuseOptions {
  readonly result: ResultName
  readonly detail?: string
}

/**
 * Refuses a request and forgets it. "Not run" is said only when no attempt can have reached a backend server.
 *
 * @param state - the node's state
 * @param request - the request
 * @param options - the result and a detail for the caller
 * @returns effects
 * @internal
 */
export function refuseRequest (
  state: NodeState,
  request: GatewayRequest,
  { result, detail }: RefuseOptions
): NodeEffect[] {
  // An attempt that has not ended may have reached a backend server already.
  const mayHaveRun = request.mayHaveRun || request.attempt !== undefined
  const run: RunState = mayHaveRun ? 'unknown' : resultCodes[result].run
  return [
    { slice: 'gateway', type: 'refuse', requestId: request.id, result, run, detail },
    ...endRequest(state, request, { kind: run === 'not-run' ? 'not-run' : 'unknown' })
  ]
}
