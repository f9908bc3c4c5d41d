import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { listServers } from '../directory/memberTable'
import { decidePhase } from './decidePhase'
import { findExposureBounds } from './exposureBounds'
import { grantAllowances, nameProcess } from './grantAllowances'
import { isFinal, isSameOrder } from './RolloutOrder'
import type { RolloutRecord } from './RolloutRecord'
import type { Conduct, Rollout } from './RolloutState'
import {
  MIN_WRITE_INTERVAL, RECORD_READ_INTERVAL, RECORD_WRITE_INTERVAL, TAKEOVER_TIMEOUT, WRITE_TIMEOUT
} from './rolloutTimings'

/** Steps that a conductor sends after the roll-out has ended, since datagrams may be lost. */
const FINAL_STEPS = 8

/**
 * Takes one step of a roll-out that this node conducts: decides on the phase, raises allowances, writes the record, and
 * tells the nodes of the service. An allowance is sent once the store has acknowledged the record that contains it.
 *
 * @param state - the node's state
 * @param rollout - the roll-out
 * @param conduct - this node's work on it
 * @returns effects
 * @internal
 */
export function conductRollout (state: MeshState, rollout: Rollout, conduct: Conduct): MeshEffect[] {
  const { rollout: { conducts }, now } = state
  const record = conduct.stored?.record
  if (record !== undefined && isSameOrder(record.order, rollout.order) && isFinal(record.phase)) {
    conduct.finalSteps += 1
    if (conduct.finalSteps > FINAL_STEPS) conducts.delete(rollout.order.service)
    return sendSteps(state, rollout, conduct)
  }
  const effects: MeshEffect[] = []
  if (conduct.pending !== undefined && now - conduct.pending.since > WRITE_TIMEOUT) {
    conduct.pending = undefined
    conduct.readAt = now
    effects.push({ slice: 'rollout', type: 'readRecords' })
  }
  if (conduct.decision === undefined) effects.push(...decidePhase(state, rollout, conduct))
  return [...effects, ...writeDueRecord(state, rollout, conduct), ...sendSteps(state, rollout, conduct)]
}

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
  if (conduct.pending !== undefined || conduct.stored === undefined) return []
  const record = composeRecord(state, rollout, conduct)
  const { record: stored, version: expectedVersion } = conduct.stored
  const isUrgent = conduct.decision !== undefined || !conduct.isConductor
  const hasChanged = record.allowances.length > 0 &&
    JSON.stringify(record.allowances) !== JSON.stringify(stored?.allowances)
  const sinceWrite = now - conduct.writtenAt
  const isDue = isUrgent || (hasChanged && sinceWrite >= MIN_WRITE_INTERVAL) || sinceWrite >= RECORD_WRITE_INTERVAL
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

/** Tells the nodes of the service the phase that the store has acknowledged. */
function sendSteps (state: MeshState, rollout: Rollout, conduct: Conduct): MeshEffect[] {
  const record = conduct.stored?.record
  if (record === undefined || !conduct.isConductor) return []
  conduct.step += 1
  const { order: { service, to, duration, position: { era, version } } } = rollout
  // A version that is to be rolled back gets nothing more, also while the store does not respond.
  const isHalted = conduct.decision?.phase === 'rolledBack'
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

/**
 * Watches the conductor of a roll-out, and takes its place if the record has not changed for a while or there is none.
 *
 * @param state - the node's state
 * @param rollout - the roll-out
 * @param conduct - this node's work on it
 * @returns effects
 * @internal
 */
export function watchConductor (state: MeshState, rollout: Rollout, conduct: Conduct): MeshEffect[] {
  const { now, lifecycle } = state
  const effects = readDueRecords(state, conduct)
  const { stored } = conduct
  if (stored === undefined || lifecycle.stopping) return effects
  if (conduct.pending !== undefined) {
    if (now - conduct.pending.since > WRITE_TIMEOUT) conduct.pending = undefined
    return effects
  }
  const isStarted = stored.record !== undefined && isSameOrder(stored.record.order, rollout.order)
  if (isStarted && isFinal(stored.record.phase)) return effects
  if (isStarted && now - conduct.changedAt < TAKEOVER_TIMEOUT) return effects
  return [...effects, ...writeDueRecord(state, rollout, conduct)]
}

/**
 * Reads the records at intervals.
 *
 * @param state - the node's state
 * @param conduct - this node's work on a roll-out
 * @returns effects
 * @internal
 */
export function readDueRecords ({ now }: MeshState, conduct: Conduct): MeshEffect[] {
  if (now - conduct.readAt < RECORD_READ_INTERVAL) return []
  conduct.readAt = now
  return [{ slice: 'rollout', type: 'readRecords' }]
}
