import type { BackendState } from './BackendState'

/** Body of the load report. @public */
export interface LoadReportBody {
  readonly slots: number
  readonly inFlight: number
  readonly healthy: boolean
}

/**
 * Builds the load report, which may be outdated or false, depending on the modes.
 *
 * @param state - the stand-in's state
 * @param at - time of the request
 * @returns the report
 * @internal
 */
export function describeLoadReport (state: BackendState, at: number): LoadReportBody {
  const { slots } = state.config
  const { report, reportLagMs } = state.modes
  if (report === 'idle') return { slots, inFlight: 0, healthy: true }
  if (report === 'busy') return { slots, inFlight: slots, healthy: false }
  const sample = state.loadHistory.findLast((entry) => entry.at <= at - reportLagMs)
  return { slots, inFlight: sample?.inFlight ?? 0, healthy: true }
}
