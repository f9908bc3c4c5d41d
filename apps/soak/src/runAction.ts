import { type Millis, millis, type NodeId } from '@lavenderturn/types'
import type { PlannedAction, SoakAction } from './SoakAction'
import type { SoakEffect } from './SoakEffect'
import { FIRST_VERSION, type SoakServer, type SoakState, STEADY_TEAM } from './SoakState'
import { BOUNDS } from './soakTimings'

/** Version that is rolled out. */
const NEW_VERSION = 'v2'

/** Longest time for a graceful stop and a restart, during which requests to the node may be disturbed. */
const STOP_SPAN = millis(BOUNDS.graceMs + 2_000)

/**
 * Starts an action.
 *
 * @param state - the state
 * @param planned - the action and its duration
 * @returns effects
 * @internal
 */
export function startAction (state: SoakState, { action, duration }: PlannedAction): SoakEffect[] {
  recordDisturbance(state, action, duration)
  const resource = getAffectedResource(action)
  if (resource !== undefined) state.activeFaults.set(resource, (state.activeFaults.get(resource) ?? 0) + 1)
  switch (action.kind) {
    case 'stopNode': return stopNode(state, action.node)
    case 'killNode': return setStatus(state, action.node, { to: 'gone', signal: 'SIGKILL' })
    case 'pauseNode': return setStatus(state, action.node, { to: 'paused', signal: 'SIGSTOP' })
    case 'reloadSettings': return [{ type: 'reloadSettings', node: action.node }]
    case 'stepClock': return [{ type: 'setClock', node: action.node, offsetMs: action.byMs }]
    case 'loseDatagrams': return [{ type: 'setLoss', node: action.node, direction: action.direction, lost: true }]
    case 'disturbForwards': return [{ type: 'setForwardLink', node: action.node, mode: action.mode }]
    case 'disturbStore': return [{ type: 'setStoreLink', node: action.node, mode: action.mode }]
    case 'troubleStore': return [{ type: 'setStoreFault', fault: action.fault }]
    case 'dropHistory': return [{ type: 'dropHistory' }]
    case 'restoreStore': return [{ type: 'copyStore' }]
    case 'crashServer': return setServer(state, action.node, { status: 'crashed' })
    case 'failServer': return setServer(state, action.node, { errorShare: action.share })
    case 'drainServer': return setServer(state, action.node, { status: 'draining' })
    case 'withdrawKey': return withdrawKey(state)
    case 'evacuate':
      state.evacuated.set(action.dataCentre, state.now)
      return [{ type: 'writeEvacuation', dataCentre: action.dataCentre, out: true }]
    case 'rollOut': return startRollOut(state, action)
  }
}

/**
 * Reverts an action, unless another action still affects the same resource.
 *
 * @param state - the state
 * @param planned - the action
 * @returns effects
 * @internal
 */
export function revertAction (state: SoakState, { action }: PlannedAction): SoakEffect[] {
  const resource = getAffectedResource(action)
  if (resource === undefined) return []
  const remaining = state.activeFaults.get(resource)! - 1
  state.activeFaults.set(resource, remaining)
  if (remaining > 0) return []
  switch (action.kind) {
    case 'killNode': return [{ type: 'after', delay: millis(0), event: { type: 'restartDue', node: action.node } }]
    case 'pauseNode': return resume(state, action.node)
    case 'stepClock': return [{ type: 'setClock', node: action.node, offsetMs: 0 }]
    case 'loseDatagrams': return [{ type: 'setLoss', node: action.node, direction: action.direction, lost: false }]
    case 'disturbForwards': return [{ type: 'setForwardLink', node: action.node, mode: 'pass' }]
    case 'disturbStore': return [{ type: 'setStoreLink', node: action.node, mode: 'pass' }]
    case 'troubleStore': return [{ type: 'setStoreFault', fault: 'none' }]
    case 'restoreStore': return [{ type: 'restoreStore' }]
    case 'crashServer':
    case 'drainServer': return setServer(state, action.node, { status: 'ready', startedAt: state.now })
    case 'failServer': return setServer(state, action.node, { errorShare: 0 })
    case 'evacuate':
      state.evacuated.delete(action.dataCentre)
      return [{ type: 'writeEvacuation', dataCentre: action.dataCentre, out: false }]
    case 'rollOut': return [{ type: 'readRollOut' }]
    default: return []
  }
}

/** Returns the resource that an action affects, or undefined if the action is not reverted. */
function getAffectedResource (action: SoakAction): string | undefined {
  switch (action.kind) {
    case 'killNode': return `killed/${action.node}`
    case 'pauseNode': return `paused/${action.node}`
    case 'stepClock': return `clock/${action.node}`
    case 'loseDatagrams': return `loss/${action.direction}/${action.node}`
    case 'disturbForwards': return `forwards/${action.node}`
    case 'disturbStore': return `store/${action.node}`
    case 'troubleStore': return 'store'
    case 'restoreStore': return 'copy'
    case 'crashServer':
    case 'drainServer': return `server/${action.node}`
    case 'failServer': return `errors/${action.node}`
    case 'evacuate': return `evacuated/${action.dataCentre}`
    case 'rollOut': return 'rollOut'
    default: return undefined
  }
}

function recordDisturbance (state: SoakState, action: SoakAction, duration: Millis): void {
  const from = state.now
  const to = millis(state.now + duration)
  if (action.kind === 'troubleStore' || action.kind === 'disturbStore') state.storeDisturbances.push({ from, to })
  if (!('node' in action)) return
  const isStop = action.kind === 'stopNode' || action.kind === 'killNode'
  state.nodes.get(action.node)!.disturbances.push({ from, to: isStop ? millis(to + STOP_SPAN) : to })
}

function stopNode (state: SoakState, node: NodeId): SoakEffect[] {
  const nodeState = state.nodes.get(node)!
  if (nodeState.status !== 'running') return []
  nodeState.status = 'stopping'
  nodeState.stopRequestedAt = state.now
  return [{ type: 'signalNode', node, signal: 'SIGTERM' }]
}

function setStatus (
  state: SoakState,
  node: NodeId,
  { to, signal }: { readonly to: 'gone' | 'paused', readonly signal: 'SIGKILL' | 'SIGSTOP' }
): SoakEffect[] {
  const nodeState = state.nodes.get(node)!
  if (nodeState.status === 'gone') return []
  // A stopping node is not paused, because its grace period would go on during the pause.
  if (to === 'paused' && nodeState.status === 'stopping') return []
  nodeState.status = to
  return [{ type: 'signalNode', node, signal }]
}

function resume (state: SoakState, node: NodeId): SoakEffect[] {
  const nodeState = state.nodes.get(node)!
  if (nodeState.status !== 'paused') return []
  nodeState.status = 'running'
  return [{ type: 'signalNode', node, signal: 'SIGCONT' }]
}

function setServer (state: SoakState, node: NodeId, change: Partial<SoakServer>): SoakEffect[] {
  const server = state.servers.get(node)!
  // A change of the error share does not restart a drain, so `drainedAt` is reset only with the status.
  if (change.status !== undefined) server.drainedAt = undefined
  Object.assign(server, change)
  return [{ type: 'setServer', server: { ...server } }]
}

function startRollOut (
  state: SoakState,
  { nodes, errorShare }: Extract<SoakAction, { readonly kind: 'rollOut' }>
): SoakEffect[] {
  const version = NEW_VERSION
  state.rollOut = { version, errorShare, nodes }
  const change = { version, versionErrorShare: errorShare, startedAt: state.now }
  return [{ type: 'writeRollOut', version }, ...nodes.flatMap((node) => setServer(state, node, change))]
}

/**
 * Ends a roll-out as its status says. After `completed` the servers of the other version are replaced at once, without
 * draining; otherwise the order is taken back and the new servers are replaced.
 *
 * @param state - the state
 * @param status - the status that the system reports
 * @returns effects
 * @internal
 */
export function endRollOut (state: SoakState, status: string | undefined): SoakEffect[] {
  const isCompleted = status === 'completed'
  const version = isCompleted ? NEW_VERSION : FIRST_VERSION
  const replaced = [...state.servers.values()].filter((server) => server.version !== version)
  const change = {
    version,
    versionErrorShare: isCompleted ? state.rollOut!.errorShare : 0,
    isStoppedAbruptly: isCompleted,
    startedAt: state.now
  }
  const effects = replaced.flatMap(({ node }) => setServer(state, node, change))
  return isCompleted ? effects : [{ type: 'writeRollOut' }, ...effects]
}

function withdrawKey (state: SoakState): SoakEffect[] {
  for (const key of state.keys) if (key.team === STEADY_TEAM) key.withdrawnAt ??= state.now
  state.revision += 1
  state.keys.push({ text: `steady-key-${state.revision}`, team: STEADY_TEAM })
  const keys = state.keys.filter(({ withdrawnAt }) => withdrawnAt === undefined)
  return [{ type: 'writeConfiguration', revision: state.revision, keys }]
}
