import {
  decodeGrantRequest, decodeGrantRecall, decodeGrantReturn, decodeHandOver, encodeGrantReply, encodeHandOverResult,
  LimitsService
} from '@lavenderturn/wire'
import type { AddRoutes } from '../peers/createControlServer'
import type { Runtime } from '../Runtime'
import type { LimitsHandler } from './LimitsHandler'

/** @public */
export interface LimitsRoutesOptions {
  readonly runtime: Runtime
  readonly handler: LimitsHandler
}

/**
 * Creates the routes of `LimitsService` on the control port. Grant requests and returns are reduced synchronously,
 * because callers' requests wait for them.
 *
 * @param options - the runtime that reduces the events, and the handler with the pending calls
 * @returns a function that adds the routes to a router
 * @public
 */
export function createLimitsRoutes ({ runtime, handler }: LimitsRoutesOptions): AddRoutes {
  return (router) => {
    router.service(LimitsService, {
      async askGrant (message) {
        const request = decodeGrantRequest(message)
        return encodeGrantReply(await handler.pendingGrants.open((callId) => {
          runtime.dispatch({ slice: 'limits', type: 'grantAsked', callId, ask: request })
        }))
      },
      returnGrant (message) {
        runtime.dispatch({ slice: 'limits', type: 'grantReturned', statement: decodeGrantReturn(message) })
        return {}
      },
      recallGrant (message) {
        runtime.dispatch({ slice: 'limits', type: 'grantRecalled', recall: decodeGrantRecall(message) })
        return {}
      },
      async handOver (message) {
        const handOver = decodeHandOver(message)
        const result = await handler.pendingHandOvers.open((callId) => {
          runtime.enqueue({ slice: 'limits', type: 'handOverOffered', callId, handOver })
        })
        return { result: encodeHandOverResult(result) }
      }
    })
  }
}
