import { type TimerId, toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { composeGossip } from './composeGossip'
import { sendGossip } from './exchangeGossip'
import type { Member } from './MembershipState'
import { INDIRECT_PROBE_COUNT, PROBE_INTERVAL, PROBE_TIMEOUT } from './membershipTimings'
import { listPeers, pickMembers } from './selectPeers'
import { updateMember } from './updateMember'

const PROBE_TIMER = toId<TimerId>('membership/probe')
const PROBE_TIMEOUT_TIMER = toId<TimerId>('membership/probeTimeout')

/**
 * Probes the next member. Members are probed in random order, each once per cycle, which bounds the time until a failed
 * member is detected.
 *
 * @param state - the node's state
 * @returns the probe and its timers
 * @internal
 */
export function probeNextMember (state: NodeState): NodeEffect[] {
  const effects: NodeEffect[] = [{
    slice: 'timer',
    type: 'set',
    id: PROBE_TIMER,
    delay: PROBE_INTERVAL,
    event: { slice: 'membership', type: 'probeDue' }
  }]
  effects.push(...gossipWithDeadMember(state))
  const target = takeNextTarget(state)
  if (target === undefined) return effects
  const probeId = state.membership.nextProbeId++
  state.membership.probe = { id: probeId, target: target.record.nodeId, indirect: false }
  effects.push(
    {
      slice: 'membership',
      type: 'sendProbe',
      probeId,
      address: target.record.controlAddress,
      gossip: composeGossip(state),
      askedAt: state.now
    },
    startProbeTimer(probeId)
  )
  return effects
}

/**
 * Handles the timeout of a probe. After a direct probe, other members are requested to probe the target; after indirect
 * probes, the target is suspected.
 *
 * @param state - the node's state
 * @param probeId - id of the probe
 * @returns the indirect probes, or the effects of the suspicion
 * @internal
 */
export function escalateProbe (state: NodeState, probeId: number): NodeEffect[] {
  const { probe, members } = state.membership
  if (probe === undefined || probe.id !== probeId) return []
  const target = members.get(probe.target)
  if (target === undefined) return []
  const helpers = pickMembers(state, listPeers(state).filter((member) => member !== target), INDIRECT_PROBE_COUNT)
  if (probe.indirect || helpers.length === 0) {
    state.membership.probe = undefined
    return markSuspect(state, target)
  }
  probe.indirect = true
  const effects: NodeEffect[] = helpers.map((helper) => ({
    slice: 'membership',
    type: 'sendIndirectProbe',
    probeId,
    via: helper.record.controlAddress,
    target: probe.target,
    targetAddress: target.record.controlAddress
  }))
  return [...effects, startProbeTimer(probeId)]
}

/**
 * Ends a probe that was answered.
 *
 * @param state - the node's state
 * @param probeId - id of the probe
 * @returns the removal of the timeout, if the probe is still in progress
 * @internal
 */
export function endProbe (state: NodeState, probeId: number): NodeEffect[] {
  if (state.membership.probe?.id !== probeId) return []
  state.membership.probe = undefined
  return [{ slice: 'timer', type: 'clear', id: PROBE_TIMEOUT_TIMER }]
}

/** After a network partition each side considers the other dead, so contact must be retried for them to merge again. */
function gossipWithDeadMember (state: NodeState): NodeEffect[] {
  const dead = [...state.membership.members.values()].filter(({ status }) => status === 'dead')
  return pickMembers(state, dead, 1).map(({ record }) => sendGossip(state, record.controlAddress))
}

function markSuspect (state: NodeState, { record, status }: Member): NodeEffect[] {
  return status === 'alive' ? updateMember(state, { record, status: 'suspect' }) : []
}

function startProbeTimer (probeId: number): NodeEffect {
  return {
    slice: 'timer',
    type: 'set',
    id: PROBE_TIMEOUT_TIMER,
    delay: PROBE_TIMEOUT,
    event: { slice: 'membership', type: 'probeTimedOut', probeId }
  }
}

function takeNextTarget (state: NodeState): Member | undefined {
  const { membership } = state
  const peers = listPeers(state)
  if (peers.length === 0) return undefined
  while (membership.probeOrder.length > 0) {
    const member = membership.members.get(membership.probeOrder.pop()!)
    if (member !== undefined && peers.includes(member)) return member
  }
  const shuffled = pickMembers(state, peers, peers.length)
  membership.probeOrder.push(...shuffled.slice(1).map(({ record }) => record.nodeId))
  return shuffled[0]
}
