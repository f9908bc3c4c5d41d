import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { RolloutEvidenceMessage } from '../messages/RolloutMessage'
import { nameProcess } from './grantAllowances'
import type { NodeReport } from './RolloutState'
import { createBuckets } from './RouteEvidence'

/** Time for which the reports of a node are kept, besides the first one. */
const HISTORY_MS = 6_000

/**
 * Keeps the report of a node.
 *
 * @param state - the conductor's state
 * @param message - the report
 * @returns no effects
 * @internal
 */
export function receiveEvidence (state: MeshState, message: RolloutEvidenceMessage): MeshEffect[] {
  const { directory, now, rollout: { conducts, rollouts } } = state
  const conduct = conducts.get(message.service)
  const member = directory.members.get(message.node)
  if (conduct?.isConductor !== true || message.term !== conduct.term || member === undefined) return []
  const { node, boot, version, sentAt, dispatched } = message
  const report = composeReport(message, { dataCentre: member.dataCentre, receivedAt: now })
  const list = conduct.reports.get(node) ?? []
  const previous = list.at(-1)
  // Datagrams may arrive late, also those of an earlier process of the node.
  if (previous !== undefined && isEarlierReport({ boot, sentAt }, previous)) return []
  if (previous !== undefined && (previous.boot !== boot || previous.version !== version)) {
    if (previous.boot !== boot) conduct.endedDispatches.set(nameProcess(previous), previous.dispatched)
    list.length = 0
  }
  list.push(report)
  while (list.length > 2 && now - list[1]!.receivedAt > HISTORY_MS) list.splice(1, 1)
  conduct.reports.set(node, list)
  const isFirst = version === rollouts.get(message.service)?.order.to && dispatched > 0
  if (isFirst) conduct.canarySince ??= now
  return []
}

function composeReport (
  { node, boot, version, ready, dispatched, running, sentAt, routes }: RolloutEvidenceMessage,
  { dataCentre, receivedAt }: Pick<NodeReport, 'dataCentre' | 'receivedAt'>
): NodeReport {
  const evidence = new Map(routes.map(([route, failed, times, active]) => {
    return [route, { failed, times: pad(times), running: pad(active) }]
  }))
  return { node, boot, dataCentre, version, ready, dispatched, running, sentAt, receivedAt, evidence }
}

function isEarlierReport (
  report: Pick<NodeReport, 'boot' | 'sentAt'>,
  previous: Pick<NodeReport, 'boot' | 'sentAt'>
): boolean {
  return report.boot === previous.boot ? report.sentAt <= previous.sentAt : report.boot < previous.boot
}

function pad (counts: readonly number[]): number[] {
  return createBuckets().map((_, index) => counts[index] ?? 0)
}
