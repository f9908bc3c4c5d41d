import { millis, toId } from '@lavenderturn/types'
import { HealthService } from '@lavenderturn/wire'
import type { AddRoutes } from '../peers/createControlServer'
import type { Runtime } from '../Runtime'
import type { HealthHandler } from './HealthHandler'
import { encodePermitAnswer } from './permitCodec'

/** @public */
export interface HealthRoutesOptions {
  readonly runtime: Runtime
  readonly handler: HealthHandler
}

/**
 * Creates the routes of `HealthService` on the control port, by which other nodes request permits.
 *
 * @param options - the runtime that reduces the events, and the handler with the pending calls
 * @returns a function that adds the routes to a router
 * @public
 */
export function createHealthRoutes ({ runtime, handler }: HealthRoutesOptions): AddRoutes {
  return (router) => {
    router.service(HealthService, {
      async askPermit ({ holder, service, endpoint, askedAtMs }) {
        const answer = await handler.pendingPermits.open((callId) => {
          runtime.enqueue({
            slice: 'health',
            type: 'permitAsked',
            callId,
            holder: toId(holder),
            service: toId(service),
            endpoint: toId(endpoint),
            askedAt: millis(askedAtMs)
          })
        })
        return encodePermitAnswer(answer)
      },
      releasePermit ({ holder, service, endpoint, askedAtMs }) {
        runtime.enqueue({
          slice: 'health',
          type: 'permitReleased',
          holder: toId(holder),
          service: toId(service),
          endpoint: toId(endpoint),
          askedAt: millis(askedAtMs)
        })
        return {}
      }
    })
  }
}
