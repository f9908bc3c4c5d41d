import { listServers } from '../directory/memberTable'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { nameProcess } from './grantAllowances'
import { isFinal } from './RolloutOrder'
import type { Conduct, Rollout } from './RolloutState'

/**
 * Tells the nodes of a service the phase and the allowances that the store has acknowledged.
 *
 * @param state - the node's state
 * @param rollout - the roll-out
 * @param conduct - this node's work on it
 * @returns effects
 * @internal
 */
export function sendSteps (state: MeshState, rollout: Rollout, conduct: Conduct): MeshEffect[] {
  const record = conduct.stored?.record
  if (record === undefined || !conduct.isConductor) return []
  conduct.step += 1
  const { order: { service, to, duration, position: { era, version } } } = rollout
  // A version that is to be rolled back gets nothing more, also while the store does not respond.
  const isHalted = conduct.decision?.phase === 'rolledBack' && !isFinal(record.phase)
  const allowances = new Map(record.allowances.map((allowance) => [nameProcess(allowance), allowance.requests]))
  const effects: MeshEffect[] = []
  for (const { node, boot, peerAddress } of listServers(state.directory, service)) {
    const report = conduct.reports.get(node)?.at(-1)
    effects.push({
      slice: 'peer',
      type: 'send',
      to: peerAddress,
      message: {
        kind: 'rolloutStep',
        replyTo: state.identity.peerAddress,
        service,
        to,
        duration,
        era,
        version,
        phase: isHalted ? 'canary' : record.phase,
        term: conduct.term,
        step: conduct.step,
        allowance: isHalted ? 0 : allowances.get(nameProcess({ node, boot })) ?? 0,
        echo: report?.boot === boot ? report.sentAt : 0
      }
    })
  }
  return effects
}
