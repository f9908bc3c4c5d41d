import { createNodeState, type NodeIdentity, type PolicyOptions } from '@lavenderturn/decisions'
import type { Server } from 'node:http'
import { AdmissionHandler } from './admission/AdmissionHandler'
import { createForwardServer } from './admission/createForwardServer'
import { ProcessClock } from './Clock'
import { createCallerServer } from './gateway/createCallerServer'
import { GatewayHandler } from './gateway/GatewayHandler'
import { createHealthRoutes } from './health/createHealthRoutes'
import { HealthHandler } from './health/HealthHandler'
import { LogHandler, type LogHandlerOptions } from './LogHandler'
import type { AddRoutes } from './peers/createControlServer'
import { PeerTransports } from './peers/PeerTransports'
import { Runtime } from './Runtime'
import { TimerHandler } from './TimerHandler'

/** @public */
export interface NodeOptions extends LogHandlerOptions {
  readonly identity: NodeIdentity
  readonly seed?: number
  readonly policies?: PolicyOptions
}

/** A node that has not opened its ports yet. @public */
export interface Node {
  readonly runtime: Runtime
  readonly callerServer: Server
  readonly forwardServer: Server
  /** Connections to other nodes; closed by the program that stops the node. */
  readonly peers: PeerTransports
  /** Calls of the slices, for the control port. */
  readonly controlRoutes: readonly AddRoutes[]
}

/**
 * Puts a node together: state, runtime, handlers and servers.
 *
 * @param options - identity, seed, policies and logger
 * @returns the parts that a program starts and stops
 * @public
 */
export function createNode ({ identity, seed, policies, log }: NodeOptions): Node {
  const runtime = new Runtime({
    // The monotonic clock starts with the process, which may be older than the node.
    state: createNodeState({ identity, now: new ProcessClock().now(), seed, policies })
  })
  const gateway = new GatewayHandler(runtime)
  const admission = new AdmissionHandler(runtime)
  const peers = new PeerTransports()
  const health = new HealthHandler({ runtime, peers, nodeId: identity.nodeId })
  for (const handler of [gateway, admission, health, new TimerHandler(runtime), new LogHandler({ log })]) {
    runtime.addHandler(handler)
  }
  return {
    runtime,
    peers,
    controlRoutes: [createHealthRoutes({ runtime, handler: health })],
    callerServer: createCallerServer({ runtime, handler: gateway }),
    forwardServer: createForwardServer({ runtime, handler: admission })
  }
}
