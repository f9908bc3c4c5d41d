import type { ReservationId } from '@lavenderturn/mesh'
import type { Fingerprint, RequestId } from '@lavenderturn/types'
import type { ServerResponse } from 'node:http'
import type { RequestHead, WholeAnswer } from '../protocol/RequestHead'
import type { PeerExchange } from './PeerExchange'

/** A caller's request while the gateway handles it. @internal */
export interface CallerExchange {
  readonly requestId: RequestId
  readonly callerRequestId: string
  readonly fingerprint: Fingerprint
  /** The request without its key and connection headers. */
  readonly head: RequestHead
  readonly body: Buffer
  readonly res: ServerResponse
  readonly attempts: Map<ReservationId, PeerExchange>
  /** Answers of backend servers, until one of them is given to the caller. */
  readonly answers: Map<ReservationId, WholeAnswer>
}
