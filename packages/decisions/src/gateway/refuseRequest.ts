import { type ResultCodeName, resultCodes, type ExecutionState } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { endRequest } from './endRequest'
import type { GatewayRequest } from './GatewayState'

/** @internal */
export interface RefuseOptions {
  readonly result: ResultCodeName
  readonly detail?: string
}

/**
 * Refuses a request and removes it from the state. The run state is `not-run` only if no attempt can have reached a
 * backend server.
 *
 * @param state - the node's state
 * @param request - the request
 * @param options - the result and an optional detail for the caller
 * @returns effects
 * @internal
 */
export function refuseRequest (
  state: NodeState,
  request: GatewayRequest,
  { result, detail }: RefuseOptions
): NodeEffect[] {
  // An attempt in progress may already have reached a backend server.
  const mayHaveRun = request.mayHaveRun || request.attempt !== undefined
  const run: ExecutionState = mayHaveRun ? 'unknown' : resultCodes[result].run
  return [
    { slice: 'gateway', type: 'refuse', requestId: request.id, result, run, detail },
    ...endRequest(state, request, { kind: run === 'not-run' ? 'not-run' : 'unknown' })
  ]
}
