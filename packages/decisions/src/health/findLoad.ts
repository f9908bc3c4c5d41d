import { type EndpointId, type Millis, millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import type { LoadReport } from './LoadReport'

/** A load report with the time at which it was received. @public */
export interface ObservedLoad {
  readonly load: LoadReport
  readonly at: Millis
}

/** Older reports are ignored, so that an endpoint without recent traffic from this gateway counts as unknown. */
const REPORT_LIFETIME = millis(10_000)

/**
 * @param state - the node's state
 * @param endpoint - an endpoint
 * @returns its latest load report, or undefined if that is missing or too old
 * @internal
 */
export function findLoad ({ health, now }: NodeState, endpoint: EndpointId): LoadReport | undefined {
  const observed = health.loads.get(endpoint)
  return observed === undefined || now - observed.at > REPORT_LIFETIME ? undefined : observed.load
}
