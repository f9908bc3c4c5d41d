import type { EndpointId } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'
import type { LoadReport } from './LoadReport'

/** A load report of an endpoint came with an answer. @public */
export interface LoadReported extends EventBase {
  readonly slice: 'health'
  readonly type: 'loadReported'
  readonly endpoint: EndpointId
  readonly load: LoadReport
}

/** @public */
export type HealthEvent = LoadReported
