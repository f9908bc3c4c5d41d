import type { Millis, RouteId, ServerVersion } from '@lavenderturn/types'
import type { VersionSample } from './RolloutAnalysis'
import type { Conduct, NodeReport } from './RolloutState'
import { countAbove, createBuckets, createRouteEvidence, type RouteEvidence } from './RouteEvidence'

/** A request is slow if at most this share of the other version's requests takes longer. */
const SLOW_SHARE = 0.1

interface NodePeriod {
  readonly latest: NodeReport
  /** Report at the start of the period; absent if the period contains all results of the server. */
  readonly first?: NodeReport
  readonly isCanary: boolean
}

/**
 * Counts the results of all servers since a time.
 *
 * @param conduct - the reports of the nodes
 * @param period - the version that is rolled out, and the start of the period
 * @returns one sample for each server and route
 * @internal
 */
export function collectSamples (
  { reports }: Conduct,
  { version, since }: { readonly version: ServerVersion, readonly since: Millis }
): VersionSample[] {
  const periods = [...reports.values()].map((list) => findPeriod(list, { version, since }))
  const slowLimits = findSlowLimits(periods.filter(({ isCanary }) => !isCanary))
  return periods.flatMap((period) => [...period.latest.evidence].map(([route, evidence]) => {
    const limit = slowLimits.get(route) ?? createBuckets().length
    const end = count(evidence, limit)
    const start = count(period.first?.evidence.get(route) ?? createRouteEvidence(), limit)
    const { isCanary, latest: { dataCentre } } = period
    const total = Math.max(0, end.total - start.total)
    const bad = Math.min(total, Math.max(0, end.bad - start.bad))
    return { node: period.latest.node, dataCentre, route, isCanary, total, bad }
  })).filter(({ total }) => total > 0)
}

function findPeriod (
  list: readonly NodeReport[],
  { version, since }: { readonly version: ServerVersion, readonly since: Millis }
): NodePeriod {
  const latest = list.at(-1)!
  const isCanary = latest.version === version
  const first = list.findLast(({ receivedAt }) => receivedAt <= since)
  // Without a report at the start of the period, all results since the order count.
  return { latest, isCanary, first }
}

/** Finds for each route the bucket above which a request of the other version is rare. */
function findSlowLimits (periods: readonly NodePeriod[]): Map<RouteId, number> {
  const sums = new Map<RouteId, number[]>()
  for (const { latest, first } of periods) {
    for (const [route, { times }] of latest.evidence) {
      const sum = sums.get(route) ?? createBuckets()
      const before = first?.evidence.get(route)?.times ?? []
      for (const [index, value] of times.entries()) sum[index]! += Math.max(0, value - (before[index] ?? 0))
      sums.set(route, sum)
    }
  }
  return new Map([...sums].map(([route, sum]) => {
    const total = countAbove(sum, -1)
    const limit = sum.findIndex((_, index) => countAbove(sum, index) <= total * SLOW_SHARE)
    // Without results of the other version nothing counts as slow.
    return [route, total === 0 ? sum.length : limit] as const
  }))
}

/** A request that is still running counts once it is slow. */
function count (
  { failed, times, running }: RouteEvidence,
  limit: number
): { readonly total: number, readonly bad: number } {
  const slowRunning = countAbove(running, limit)
  return { total: failed + countAbove(times, -1) + slowRunning, bad: failed + countAbove(times, limit) + slowRunning }
}
