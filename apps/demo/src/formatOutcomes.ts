import { build, type Histogram } from 'hdr-histogram-js'
import type { RequestOutcome } from './DemoPlan'

const MICROSECONDS_PER_MILLISECOND = 1_000

/**
 * Formats a table of latency percentiles and results by team and kind of request.
 *
 * @param outcomes - outcomes of the requests
 * @returns lines of the table
 * @public
 */
export function formatOutcomes (outcomes: readonly RequestOutcome[]): string[] {
  const rows = [...groupOutcomes(outcomes)].sort(([a], [b]) => a.localeCompare(b)).map(([name, group]) => {
    const latencies = createHistogram(group)
    const count = (result: RequestOutcome['result']) => String(group.filter((each) => each.result === result).length)
    const percentile = (percent: number) => {
      return (latencies.getValueAtPercentile(percent) / MICROSECONDS_PER_MILLISECOND).toFixed(1)
    }
    return [
      ...name.split('/'), String(group.length), percentile(50), percentile(99), percentile(100),
      count('refused'), count('cut'), count('wrong')
    ]
  })
  const head = ['team', 'kind', 'requests', 'p50 ms', 'p99 ms', 'max ms', 'refused', 'cut', 'wrong']
  return alignColumns([head, ...rows])
}

function groupOutcomes (outcomes: readonly RequestOutcome[]): Map<string, RequestOutcome[]> {
  const groups = new Map<string, RequestOutcome[]>()
  for (const outcome of outcomes) {
    const name = `${outcome.team}/${outcome.kind}`
    groups.set(name, [...groups.get(name) ?? [], outcome])
  }
  return groups
}

function createHistogram (outcomes: readonly RequestOutcome[]): Histogram {
  const histogram = build()
  for (const { latencyMs } of outcomes) histogram.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MILLISECOND))
  return histogram
}

function alignColumns (rows: ReadonlyArray<readonly string[]>): string[] {
  const widths = rows[0]!.map((_, column) => Math.max(...rows.map((row) => row[column]!.length)))
  return rows.map((row) => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd())
}
