import type { ReservationId } from '@lavenderturn/mesh'
import type { BodyBuffer } from '@lavenderturn/runtime'
import type { Fingerprint, Millis, RouteId, ServiceId, TeamId } from '@lavenderturn/types'
import type { RequestHead } from '../protocol/RequestHead'

/** A request that a gateway forwards to an admission. @internal */
export interface ForwardedRequest {
  readonly reservation: ReservationId
  readonly route: RouteId
  readonly team?: TeamId
  readonly callerService: ServiceId
  /** Id that the caller gave the request. */
  readonly callerRequestId: string
  readonly fingerprint: Fingerprint
  readonly timeout: Millis
  readonly head: RequestHead
  readonly body: BodyBuffer
}
