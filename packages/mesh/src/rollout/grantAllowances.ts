import type { MeshState } from '../MeshState'
import { isEvacuated } from '../configuration/isEvacuated'
import type { ExposureBounds } from './exposureBounds'
import { REPORT_VALIDITY } from './rolloutTimings'
import type { CanaryAllowance } from './RolloutRecord'
import type { Conduct, NodeReport, Rollout } from './RolloutState'

/** Parts of the bounds that are used: reports are late, and a request may be sent to a server twice. */
const USED_SHARE = 0.9
const USED_SLACK = 0.9

/** Requests by which an allowance is raised. Enough to fill the slots of a server, so that faults under load show. */
const CHUNK = 8

/** Servers that have an allowance at a time. More servers would each be loaded less. */
const MAX_ACTIVE = 6

/** An allowance with fewer requests left is as good as used. */
const MIN_LEFT = 2

/**
 * Raises the allowances of servers with a new version, one after another so that many take part. The sum of all that
 * were ever given stays within the bounds for the requests known so far, whatever becomes of the nodes or the links
 * between them.
 *
 * @param state - the conductor's state
 * @param rollout - the roll-out
 * @param options - the reports, the bounds, and the allowances given so far
 * @returns the allowances with those that are new
 * @internal
 */
export function grantAllowances (
  state: MeshState,
  { order }: Rollout,
  { conduct, bounds, given }: {
    readonly conduct: Conduct, readonly bounds: ExposureBounds, readonly given: readonly CanaryAllowance[]
  }
): readonly CanaryAllowance[] {
  const limit = bounds.exposeSlack * USED_SLACK + bounds.exposeShare * USED_SHARE * countRequests(conduct)
  const allowances = new Map(given.map((allowance) => [nameProcess(allowance), allowance]))
  const latest = [...conduct.reports.values()].map((list) => list.at(-1)!)
  const reported = latest.filter(({ version }) => version === order.to)
  // A restored store may have lost the latest allowances.
  for (const { node, boot, dispatched } of reported) {
    const known = allowances.get(nameProcess({ node, boot }))?.requests ?? 0
    if (dispatched > known) allowances.set(nameProcess({ node, boot }), { node, boot, requests: dispatched })
  }
  let left = Math.floor(limit) - [...allowances.values()].reduce((sum, { requests }) => sum + requests, 0)
  const canaries = reported.filter((report) => isUsable(state, report))
  const findGiven = (report: NodeReport): number => allowances.get(nameProcess(report))?.requests ?? 0
  const active = canaries.filter((report) => findGiven(report) - report.dispatched > MIN_LEFT)
  const idle = canaries.filter((report) => !active.includes(report))
  // Servers with the least allowance come first, then those in data centres with few active ones.
  const rank = (report: NodeReport): number => {
    return findGiven(report) + active.filter(({ dataCentre }) => dataCentre === report.dataCentre).length / MAX_ACTIVE
  }
  while (active.length < MAX_ACTIVE && idle.length > 0 && left > 0 && (left >= CHUNK || active.length === 0)) {
    idle.sort((first, second) => rank(first) - rank(second))
    const next = idle.shift()!
    const requests = Math.min(left, CHUNK)
    left -= requests
    allowances.set(nameProcess(next), { node: next.node, boot: next.boot, requests: findGiven(next) + requests })
    active.push(next)
  }
  return [...allowances.values()]
}

/**
 * @param process - a node and its boot id
 * @returns a name of the process
 * @internal
 */
export function nameProcess ({ node, boot }: { readonly node: string, readonly boot: string }): string {
  return `${node}/${boot}`
}

/** Counts the requests that are known to have reached the service since the order. */
function countRequests ({ reports, endedDispatches }: Conduct): number {
  let sum = 0
  for (const list of reports.values()) sum += list.at(-1)!.dispatched
  for (const dispatched of endedDispatches.values()) sum += dispatched
  return sum
}

function isUsable (state: MeshState, { node, ready, receivedAt, dataCentre }: NodeReport): boolean {
  const member = state.directory.members.get(node)
  if (member === undefined || member.leaving || isEvacuated(state, dataCentre)) return false
  return ready && state.now - receivedAt < REPORT_VALIDITY
}
