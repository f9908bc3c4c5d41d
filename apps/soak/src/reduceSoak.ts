import { type Millis, millis, type NodeId, toId } from '@lavenderturn/types'
import { endRollOut, revertAction, startAction } from './runAction'
import type { PlannedAction } from './SoakAction'
import type { SoakEffect } from './SoakEffect'
import type { SoakEvent } from './SoakEvent'
import { GREEDY_TEAM, type SoakRequest, type SoakState, STEADY_TEAM } from './SoakState'
import {
  CALLER_TIMEOUT, FAULT_SPAN, GREEDY_INTERVAL, OPERATOR_RETRY_INTERVAL, RECOVERY_TIME, REQUEST_INTERVAL, RESTART_DELAY,
  VERIFICATION_TIME
} from './soakTimings'

/** One of this many requests is not repeatable. */
const NON_REPEATABLE_INTERVAL = 3

/**
 * Applies an event to the state of a soak. The checks process the same events separately.
 *
 * @param state - state, updated in place
 * @param event - event to apply
 * @returns the effects to run
 * @public
 */
export function reduceSoak (state: SoakState, event: SoakEvent): SoakEffect[] {
  state.now = event.at
  switch (event.type) {
    case 'fleetReady': return startFaults(state)
    case 'actionDue': {
      const planned = state.plan[event.index]!
      if (isBlockedByStoreFault(state, planned)) return [schedule(OPERATOR_RETRY_INTERVAL, event)]
      return [...startAction(state, planned), schedule(planned.duration, { type: 'actionEnded', index: event.index })]
    }
    case 'actionEnded': {
      const planned = state.plan[event.index]!
      return isBlockedByStoreFault(state, planned)
        ? [schedule(OPERATOR_RETRY_INTERVAL, event)]
        : revertAction(state, planned)
    }
    case 'requestDue': return sendNextRequest(state, event.greedy)
    case 'requestEnded':
      state.requests.get(event.requestId)!.result = event.result
      return []
    case 'runStarted':
      state.requests.get(event.requestId)?.runs.push({ node: event.node, at: event.at })
      return []
    case 'drainAcknowledged':
      state.servers.get(event.node)!.drainedAt = event.at
      return []
    case 'rollOutRead': return endRollOut(state, event.status)
    case 'nodeExited': return scheduleRestart(state, event.node)
    case 'restartDue': return startNode(state, event.node)
    case 'recoveryEnded':
      state.phase = 'verification'
      state.verificationStartedAt = state.now
      return [schedule(VERIFICATION_TIME, { type: 'verificationEnded' })]
    case 'verificationEnded':
      state.phase = 'done'
      return [{ type: 'finish' }]
  }
}

function startFaults (state: SoakState): SoakEffect[] {
  state.phase = 'faults'
  const last = Math.max(FAULT_SPAN, ...state.plan.map(({ at, duration }) => at + duration))
  return [
    ...state.plan.map(({ at }, index) => schedule(at, { type: 'actionDue', index })),
    schedule(millis(last + RECOVERY_TIME), { type: 'recoveryEnded' }),
    schedule(REQUEST_INTERVAL, { type: 'requestDue', greedy: false }),
    schedule(GREEDY_INTERVAL, { type: 'requestDue', greedy: true })
  ]
}

/** The store rejects the writes of the operator while it has a fault, so these actions are retried later. */
function isBlockedByStoreFault ({ activeFaults }: SoakState, { action: { kind } }: PlannedAction): boolean {
  const isOperatorCall = kind === 'withdrawKey' || kind === 'evacuate' || kind === 'rollOut'
  return isOperatorCall && (activeFaults.get('store') ?? 0) > 0
}

function sendNextRequest (state: SoakState, greedy: boolean): SoakEffect[] {
  if (state.phase === 'done') return []
  const sequence = state.nextRequest++
  const team = greedy ? GREEDY_TEAM : STEADY_TEAM
  const nodes = [...state.nodes.values()]
  const { id: node, status } = nodes[sequence % nodes.length]!
  const effects: SoakEffect[] = [
    schedule(greedy ? GREEDY_INTERVAL : REQUEST_INTERVAL, { type: 'requestDue', greedy })
  ]
  // Callers use a stopping node until its process has exited.
  if (status === 'gone') return effects
  const key = state.keys.findLast((known) => known.team === team)!.text
  const request: SoakRequest = {
    id: toId(`request-${sequence}`),
    node,
    team,
    key,
    repeatable: sequence % NON_REPEATABLE_INTERVAL !== 0,
    sentAt: state.now,
    timeout: CALLER_TIMEOUT,
    runs: []
  }
  state.requests.set(request.id, request)
  return [{ type: 'sendRequest', request }, ...effects]
}

function scheduleRestart (state: SoakState, node: NodeId): SoakEffect[] {
  state.nodes.get(node)!.status = 'gone'
  return state.phase === 'done' ? [] : [schedule(RESTART_DELAY, { type: 'restartDue', node })]
}

function startNode (state: SoakState, node: NodeId): SoakEffect[] {
  const nodeState = state.nodes.get(node)!
  if (nodeState.status !== 'gone' || (state.activeFaults.get(`killed/${node}`) ?? 0) > 0) return []
  nodeState.status = 'running'
  nodeState.stopRequestedAt = undefined
  return [{ type: 'startNode', node }]
}

function schedule (delay: Millis, event: Extract<SoakEffect, { readonly type: 'after' }>['event']): SoakEffect {
  return { type: 'after', delay, event }
}
