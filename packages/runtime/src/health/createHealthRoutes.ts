import { millis, toId } from '@lavenderturn/types'
import { HealthService } from '@lavenderturn/wire'
import type { AddRoutes } from '../peers/createControlServer'
import type { Runtime } from '../Runtime'
import type { HealthHandler } from './HealthHandler'
import { writePermitAnswer } from './permitMessages'

/** @public */
export interface HealthRoutesOptions {
  readonly runtime: Runtime
  readonly handler: HealthHandler
}

/**
 * Creates the calls of `HealthService`, by which other nodes ask this one for permits.
 *
 * @param options - the runtime that gets the events and the handler that knows the open calls
 * @returns adds the calls to the control port
 * @public
 */
export function createHealthRoutes ({ runtime, handler }: HealthRoutesOptions): AddRoutes {
  return (router) => {
    router.service(HealthService, {
      async askPermit ({ holder, service, endpoint, askedAtMs }) {
        const answer = await handler.calls.open((callId) => {
          runtime.tell({
            slice: 'health',
            type: 'permitAsked',
            callId,
            holder: toId(holder),
            service: toId(service),
            endpoint: toId(endpoint),
            askedAt: millis(askedAtMs)
          })
        })
        return writePermitAnswer(answer)
      },
      releasePermit ({ holder, service, endpoint, askedAtMs }) {
        runtime.tell({
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
