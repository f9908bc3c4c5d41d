import type { ReservationId } from '@lavenderturn/mesh'
import type { BodyBuffer } from '@lavenderturn/runtime'
import type { Fingerprint, RequestId } from '@lavenderturn/types'
import type { ServerResponse } from 'node:http'
import type { Answer, RequestHead } from '../protocol/RequestHead'
import type { PeerExchange } from './PeerExchange'

/** A caller's request that the gateway is handling. @internal */
export interface CallerExchange {
  readonly requestId: RequestId
  readonly callerRequestId: string
  readonly fingerprint: Fingerprint
  /** The request without its key and connection headers. */
  readonly head: RequestHead
  readonly body: BodyBuffer
  readonly res: ServerResponse
  readonly attempts: Map<ReservationId, PeerExchange>
  /** Responses of backend servers by attempt, until one of them is relayed to the caller. */
  readonly responses: Map<ReservationId, Answer>
}
