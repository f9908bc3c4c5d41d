import { createNodeState, type NodeIdentity, type PolicyOptions } from '@lavenderturn/decisions'
import type { Server } from 'node:http'
import { AdmissionHandler } from './admission/AdmissionHandler'
import { createForwardServer } from './admission/createForwardServer'
import { createCallerServer } from './gateway/createCallerServer'
import { GatewayHandler } from './gateway/GatewayHandler'
import { LogHandler, type LogHandlerOptions } from './LogHandler'
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
}

/**
 * Puts a node together: state, runtime, handlers and servers.
 *
 * @param options - identity, seed, policies and logger
 * @returns the parts that a program starts and stops
 * @public
 */
export function createNode ({ identity, seed, policies, log }: NodeOptions): Node {
  const runtime = new Runtime({ state: createNodeState({ identity, seed, policies }) })
  const gateway = new GatewayHandler(runtime)
  const admission = new AdmissionHandler(runtime)
  for (const handler of [gateway, admission, new TimerHandler(runtime), new LogHandler({ log })]) {
    runtime.addHandler(handler)
  }
  return {
    runtime,
    callerServer: createCallerServer({ runtime, handler: gateway }),
    forwardServer: createForwardServer({ runtime, handler: admission })
  }
}
