import {
  decodeClaimRequest, decodeCopyRecordsRequest, decodeSettlement, encodeClaimReply, encodeCopyReply, IdempotencyService
} from '@lavenderturn/wire'
import type { AddRoutes } from '../peers/createControlServer'
import type { Runtime } from '../Runtime'
import type { IdempotencyHandler } from './IdempotencyHandler'

/** @public */
export interface IdempotencyRoutesOptions {
  readonly runtime: Runtime
  readonly handler: IdempotencyHandler
}

/**
 * Creates the routes of `IdempotencyService` on the control port.
 *
 * @param options - the runtime that reduces the events, and the handler with the pending calls
 * @returns a function that adds the routes to a router
 * @public
 */
export function createIdempotencyRoutes ({ runtime, handler }: IdempotencyRoutesOptions): AddRoutes {
  return (router) => {
    router.service(IdempotencyService, {
      async claim (message) {
        const request = decodeClaimRequest(message)
        return encodeClaimReply(await handler.pendingClaims.open((callId) => {
          runtime.dispatch({ slice: 'idempotency', type: 'claimAsked', callId, ask: request })
        }))
      },
      async settle (message) {
        const settlement = decodeSettlement(message)
        const accepted = await handler.pendingSettlements.open((callId) => {
          runtime.enqueue({ slice: 'idempotency', type: 'settleAsked', callId, settlement })
        })
        return { accepted }
      },
      async copyClaims (message) {
        const request = decodeCopyRecordsRequest(message)
        return encodeCopyReply(await handler.pendingCopies.open((callId) => {
          runtime.enqueue({ slice: 'idempotency', type: 'copyAsked', callId, ask: request })
        }))
      }
    })
  }
}
