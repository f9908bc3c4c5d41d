import { createNodeState, type NodeIdentity, type PolicyOptions } from '@lavenderturn/decisions'
import type { Server } from 'node:http'
import type { Http2Server } from 'node:http2'
import { AdmissionHandler } from './admission/AdmissionHandler'
import { createForwardServer } from './admission/createForwardServer'
import { addControlRoutes } from './control/addControlRoutes'
import { ControlHandler } from './control/ControlHandler'
import { createCallerServer } from './gateway/createCallerServer'
import { GatewayHandler } from './gateway/GatewayHandler'
import { LogHandler, type LogHandlerOptions } from './LogHandler'
import { createControlServer } from './peers/createControlServer'
import { PeerTransports } from './peers/PeerTransports'
import { PlatformHandler } from './platform/PlatformHandler'
import type { PlatformStores } from './platform/PlatformStores'
import { Runtime } from './Runtime'
import { TimerHandler } from './TimerHandler'

/** @public */
export interface NodeOptions extends LogHandlerOptions {
  readonly identity: NodeIdentity
  readonly seed?: number
  readonly policies?: PolicyOptions
  /** Absent: the node has no store and cannot accept changes. */
  readonly platform?: PlatformStores
}

/** A node that has not opened its ports yet. @public */
export interface Node {
  readonly runtime: Runtime
  readonly callerServer: Server
  readonly forwardServer: Server
  readonly controlServer: Http2Server
}

/**
 * Puts a node together: state, runtime, handlers and servers.
 *
 * @param options - identity, seed, policies, logger and platform
 * @returns the parts that a program starts and stops
 * @public
 */
export function createNode ({ identity, seed, policies, log, platform }: NodeOptions): Node {
  const runtime = new Runtime({ state: createNodeState({ identity, seed, policies }) })
  const gateway = new GatewayHandler(runtime)
  const admission = new AdmissionHandler(runtime)
  const control = new ControlHandler({ runtime, transports: new PeerTransports() })
  const store = new PlatformHandler({ runtime, stores: platform })
  for (const handler of [gateway, admission, control, store, new TimerHandler(runtime), new LogHandler({ log })]) {
    runtime.addHandler(handler)
  }
  runtime.dispatch({ slice: 'control', type: 'started' })
  return {
    runtime,
    callerServer: createCallerServer({ runtime, handler: gateway }),
    forwardServer: createForwardServer({ runtime, handler: admission }),
    controlServer: createControlServer([addControlRoutes(control)])
  }
}
