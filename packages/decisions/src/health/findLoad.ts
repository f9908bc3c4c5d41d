import { type EndpointId, type Millis, millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import type { LoadReport } from './LoadReport'

/** A load report with the time at which it came. @public */
export interface ObservedLoad {
  readonly load: LoadReport
  readonly at: Millis
}

/** A report that is older says nothing; an endpoint without traffic from this gateway counts as unknown. */
const REPORT_LIFETIME = millis(10_000)

/**
 * @param state - the node's state
 * @param endpoint - an endpoint
 * @returns its latest report, unless that is too old
 * @internal
 */
export function findLoad ({ health, now }: NodeState, endpoint: EndpointId): LoadReport | undefined {
  const observed = health.loads.get(endpoint)
  return observed === undefined || now - observed.at > REPORT_LIFETIME ? undefined : observed.load
}
