import type { LoadState } from './LoadState'

const US_PER_MS = 1_000

/** Results of one stream. @public */
export interface StreamSummary {
  readonly name: string
  readonly sent: number
  readonly notSent: number
  readonly answered: number
  readonly outcomes: Readonly<Record<string, number>>
  readonly p50Ms: number
  readonly p99Ms: number
  readonly maxMs: number
}

/**
 * @param state - state of a finished load
 * @returns the summary of each stream
 * @public
 */
export function summarise (state: LoadState): StreamSummary[] {
  return state.streams.map(({ sent, notSent, outcomes, latency }, index) => ({
    name: state.plan.streams[index]!.name,
    sent,
    notSent,
    answered: latency.totalCount,
    outcomes: Object.fromEntries(outcomes),
    p50Ms: latency.getValueAtPercentile(50) / US_PER_MS,
    p99Ms: latency.getValueAtPercentile(99) / US_PER_MS,
    maxMs: latency.maxValue / US_PER_MS
  }))
}
