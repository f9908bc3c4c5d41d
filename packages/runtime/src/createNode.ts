import { createNodeState, type NodeIdentity, type PolicyOptions } from '@lavenderturn/decisions'
import type { Server } from 'node:http'
import { AdmissionHandler } from './admission/AdmissionHandler'
import { createForwardServer } from './admission/createForwardServer'
import { ProcessClock } from './Clock'
import { createCallerServer } from './gateway/createCallerServer'
import { GatewayHandler } from './gateway/GatewayHandler'
import { createIdempotencyRoutes } from './idempotency/createIdempotencyRoutes'
import { IdempotencyHandler } from './idempotency/IdempotencyHandler'
import { createLimitsRoutes } from './limits/createLimitsRoutes'
import { LimitsHandler } from './limits/LimitsHandler'
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
  /** Calls of the control port. */
  readonly controlRoutes: readonly AddRoutes[]
  readonly transports: PeerTransports
}

/**
 * Puts a node together: state, runtime, handlers and servers.
 *
 * @param options - identity, seed, policies and logger
 * @returns the parts that a program starts and stops
 * @public
 */
export function createNode ({ identity, seed, policies, log }: NodeOptions): Node {
  const clock = new ProcessClock()
  const runtime = new Runtime({ state: createNodeState({ identity, seed, policies, now: clock.now() }), clock })
  const gateway = new GatewayHandler(runtime)
  const admission = new AdmissionHandler(runtime)
  const transports = new PeerTransports()
  const limits = new LimitsHandler({ runtime, transports })
  const idempotency = new IdempotencyHandler({ runtime, transports })
  for (const handler of [gateway, admission, limits, idempotency, new TimerHandler(runtime), new LogHandler({ log })]) {
    runtime.addHandler(handler)
  }
  return {
    runtime,
    callerServer: createCallerServer({ runtime, handler: gateway }),
    forwardServer: createForwardServer({ runtime, handler: admission }),
    controlRoutes: [
      createLimitsRoutes({ runtime, handler: limits }),
      createIdempotencyRoutes({ runtime, handler: idempotency })
    ],
    transports
  }
}
