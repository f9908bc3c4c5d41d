import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { findExposureBounds } from './exposureBounds'
import { grantAllowances } from './grantAllowances'
import { isSameOrder } from './RolloutOrder'
import type { RolloutRecord } from './RolloutRecord'
import type { Conduct, Rollout } from './RolloutState'
import { MIN_WRITE_INTERVAL, RECORD_WRITE_INTERVAL } from './rolloutTimings'

/**
 * Writes the record of a roll-out if it has changed, or to show that this node conducts it.
 *
 * @param state - the node's state
 * @param rollout - the roll-out
 * @param conduct - this node's work on it
 * @returns effects
 * @internal
 */
export function writeDueRecord (state: MeshState, rollout: Rollout, conduct: Conduct): MeshEffect[] {
  const { now } = state
  const sinceWrite = now - conduct.writtenAt
  if (conduct.pending !== undefined || conduct.stored === undefined || sinceWrite < MIN_WRITE_INTERVAL) return []
  const record = composeRecord(state, rollout, conduct)
  const { record: stored, version: expectedVersion } = conduct.stored
  const isUrgent = conduct.decision !== undefined || !conduct.isConductor
  const hasChanged = record.allowances.length > 0 &&
    JSON.stringify(record.allowances) !== JSON.stringify(stored?.allowances)
  const isDue = isUrgent || hasChanged || sinceWrite >= RECORD_WRITE_INTERVAL
  if (!isDue) return []
  conduct.pending = { record, since: now }
  conduct.writtenAt = now
  return [{ slice: 'rollout', type: 'writeRecord', record, expectedVersion }]
}

function composeRecord (state: MeshState, rollout: Rollout, conduct: Conduct): RolloutRecord {
  const { order, phase: knownPhase, excluded } = rollout
  const { record } = conduct.stored!
  const previous = record !== undefined && isSameOrder(record.order, order) ? record : undefined
  const phase = conduct.decision?.phase ?? previous?.phase ?? (rollout.isPhaseKnown ? knownPhase : 'canary')
  const given = previous?.allowances ?? []
  const bounds = findExposureBounds(state.bounds)!
  const canGrant = phase === 'canary' && conduct.isConductor && conduct.decision === undefined
  return {
    order,
    phase,
    conductor: state.identity.nodeId,
    conductorBoot: state.identity.bootId,
    elapsedMs: Math.round(state.now - rollout.orderedAt),
    allowances: canGrant ? grantAllowances(state, rollout, { conduct, bounds, given }) : given,
    excluded: [...excluded],
    reason: conduct.decision?.reason ?? previous?.reason ?? 'ordered'
  }
}
