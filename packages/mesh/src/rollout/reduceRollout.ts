import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { applyRecords } from './applyRecords'
import { closeVersion } from './closeVersion'
import { conductRollout } from './conductRollout'
import { confirmRecord, handleFailedWrite, handleRejection } from './handleWrite'
import { receiveEvidence } from './receiveEvidence'
import { receiveStep } from './receiveStep'
import type { RolloutEvent } from './RolloutEvent'
import { isFinal } from './RolloutOrder'
import { createConduct, type Conduct, type Rollout } from './RolloutState'
import { STEP_VALIDITY } from './rolloutTimings'
import { scheduleCheck } from './scheduleCheck'
import { readDueRecords, watchConductor } from './watchConductor'

/**
 * Moves the traffic of services to servers of another version, as operators order it.
 *
 * @param state - the node's state
 * @param event - an event of a roll-out
 * @returns effects
 * @internal
 */
export function reduceRollout (state: MeshState, event: RolloutEvent): MeshEffect[] {
  switch (event.type) {
    case 'checkDue': return checkRollouts(state)
    case 'evidenceReceived': return receiveEvidence(state, event.message)
    case 'recordNotWritten': return handleFailedWrite(state, event)
    case 'recordRejected': return handleRejection(state, event)
    case 'recordsRead': return applyRecords(state, event)
    case 'recordWritten': return confirmRecord(state, event)
    case 'stepReceived': return receiveStep(state, event.message)
  }
}

function checkRollouts (state: MeshState): MeshEffect[] {
  const { rollout } = state
  rollout.isChecking = false
  const effects = [...rollout.rollouts.values()].flatMap((current) => checkRollout(state, current))
  // An allowance or the time beside the new servers may be over.
  effects.push(...closeVersion(state))
  const isActive = [...rollout.rollouts.values()].some((current) => isUnsettled(state, current))
  return isActive ? [...effects, ...scheduleCheck(state)] : effects
}

function isUnsettled ({ rollout: { conducts } }: MeshState, { order, phase, isPhaseKnown }: Rollout): boolean {
  return !isFinal(phase) || !isPhaseKnown || conducts.get(order.service)?.isConductor === true
}

function checkRollout (state: MeshState, current: Rollout): MeshEffect[] {
  const { configuration: { relay }, rollout: { conducts } } = state
  const { service } = current.order
  const conduct = conducts.get(service)
  if (conduct?.isConductor === true) return conductRollout(state, current, conduct)
  const isSettled = isFinal(current.phase) && current.isPhaseKnown
  if (!isSettled && relay.following) return watchConductor(state, current, findOrCreateConduct(state, current))
  if (!isSettled && isWaitingForPhase(state, current)) {
    return readDueRecords(state, findOrCreateConduct(state, current))
  }
  // A failed write of the last phase is repeated by the node that decided it.
  if (conduct?.pending === undefined) conducts.delete(service)
  return []
}

/** Whether this instance's server gets nothing because no conductor has told the phase of its version. */
function isWaitingForPhase ({ admission, identity, now }: MeshState, rollout: Rollout): boolean {
  const { isPhaseKnown, order, phaseSince } = rollout
  if (isPhaseKnown || order.service !== identity.service || admission.server?.version !== order.to) return false
  return now - phaseSince >= STEP_VALIDITY
}

function findOrCreateConduct ({ now, rollout: { conducts } }: MeshState, { order }: Rollout): Conduct {
  const existing = conducts.get(order.service)
  if (existing !== undefined) return existing
  const created = createConduct(now)
  conducts.set(order.service, created)
  return created
}
