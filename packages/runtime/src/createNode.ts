import { createNodeState, type NodeIdentity, type PolicyOptions } from '@lavenderturn/decisions'
import type { Address } from '@lavenderturn/types'
import type { Server } from 'node:http'
import type { Http2Server } from 'node:http2'
import { createAdminServer } from './admin/createAdminServer'
import { TeamUsage } from './admin/TeamUsage'
import { AdmissionHandler, type AdmissionHandlerOptions } from './admission/AdmissionHandler'
import { createForwardServer } from './admission/createForwardServer'
import { type Clock, ProcessClock } from './Clock'
import { createControlRoutes } from './control/createControlRoutes'
import { ControlHandler } from './control/ControlHandler'
import { createCallerServer } from './gateway/createCallerServer'
import { GatewayHandler, type GatewayHandlerOptions } from './gateway/GatewayHandler'
import { createHealthRoutes } from './health/createHealthRoutes'
import { HealthHandler } from './health/HealthHandler'
import { HybridClock } from './journal/HybridClock'
import { Journal } from './journal/Journal'
import { ExchangeCounter } from './lifecycle/ExchangeCounter'
import { LifecycleHandler, type LifecycleHandlerOptions } from './lifecycle/LifecycleHandler'
import { createIdempotencyRoutes } from './idempotency/createIdempotencyRoutes'
import { IdempotencyHandler } from './idempotency/IdempotencyHandler'
import { createLimitsRoutes } from './limits/createLimitsRoutes'
import { LimitsHandler } from './limits/LimitsHandler'
import { LogHandler, type LogHandlerOptions } from './LogHandler'
import { createMembershipRoutes } from './membership/createMembershipRoutes'
import { MembershipHandler } from './membership/MembershipHandler'
import { Metrics } from './metrics/Metrics'
import { createControlServer } from './peers/createControlServer'
import { PeerTransports } from './peers/PeerTransports'
import { PlatformHandler } from './platform/PlatformHandler'
import type { PlatformStores } from './platform/PlatformStores'
import { Runtime, type StepObserver } from './Runtime'
import { TimerHandler } from './TimerHandler'

/** @public */
export interface NodeOptions extends LogHandlerOptions, Pick<LifecycleHandlerOptions, 'exit'> {
  readonly identity: NodeIdentity
  readonly seed?: number
  /** Clock for the times of events. */
  readonly clock?: Clock
  readonly policies?: PolicyOptions
  /** Without a platform, the node has no store and cannot accept declarations. */
  readonly platform?: PlatformStores
  /** Observers besides the journal and the metrics. */
  readonly observers?: readonly StepObserver[]
  /** Delays and time-outs for detecting broken connections to other nodes. */
  readonly pathProgress?: GatewayHandlerOptions['progress']
  /** Delays and time-outs for detecting broken connections to backend servers. */
  readonly backendProgress?: AdmissionHandlerOptions['progress']
}

/** The parts of a node. Its ports are not open yet. @public */
export interface Node {
  readonly runtime: Runtime
  readonly callerServer: Server
  readonly forwardServer: Server
  /** Answers calls from other nodes (HTTP/2). */
  readonly controlServer: Http2Server
  readonly adminServer: Server
  /** Runs planned stops. */
  readonly lifecycle: LifecycleHandler
  readonly journal: Journal
  /** The clock whose times are sent to other nodes. */
  readonly hybridClock: HybridClock
  /** Connections to other nodes; closed when the node has stopped. */
  readonly peers: PeerTransports
  /**
   * Joins the fleet and starts to replicate the control document. Must be called after the ports are open.
   *
   * @param seeds - control addresses of other nodes
   */
  readonly start: (seeds?: readonly Address[]) => void
}

/**
 * Creates the state, runtime, handlers and servers of a node.
 *
 * @param options - identity, seed, policies and logger
 * @returns the parts that a program starts and stops
 * @public
 */
export function createNode ({
  identity, seed, policies, log, platform, exit, observers = [], clock = new ProcessClock(), pathProgress,
  backendProgress
}: NodeOptions): Node {
  const hybridClock = new HybridClock()
  const journal = new Journal({ identity, clock: hybridClock })
  const metrics = new Metrics()
  const usage = new TeamUsage()
  const runtime = new Runtime({
    state: createNodeState({ identity, seed, policies, now: clock.now() }),
    clock,
    observers: [journal, metrics, usage, ...observers]
  })
  const counter = new ExchangeCounter()
  const gateway = new GatewayHandler(runtime, { clock: hybridClock, progress: pathProgress })
  const admission = new AdmissionHandler(runtime, { clock: hybridClock, progress: backendProgress })
  const lifecycle = new LifecycleHandler({ runtime, counter, exit })
  const peers = new PeerTransports()
  const health = new HealthHandler({ runtime, peers, nodeId: identity.nodeId })
  const membership = new MembershipHandler(runtime, peers)
  const control = new ControlHandler({ runtime, transports: peers })
  const limits = new LimitsHandler({ runtime, transports: peers })
  const idempotency = new IdempotencyHandler({ runtime, transports: peers })
  const handlers = [
    gateway,
    admission,
    health,
    membership,
    control,
    limits,
    idempotency,
    new PlatformHandler({ runtime, stores: platform }),
    lifecycle,
    new TimerHandler(runtime),
    new LogHandler({ log })
  ]
  for (const handler of handlers) runtime.addHandler(handler)
  const callerServer = createCallerServer({ runtime, handler: gateway, counter })
  const forwardServer = createForwardServer({ runtime, handler: admission, counter })
  lifecycle.addServer(callerServer)
  lifecycle.addServer(forwardServer)
  return {
    runtime,
    callerServer,
    forwardServer,
    controlServer: createControlServer([
      createHealthRoutes({ runtime, handler: health }),
      createMembershipRoutes({ runtime, handler: membership }),
      createControlRoutes(control),
      createLimitsRoutes({ runtime, handler: limits }),
      createIdempotencyRoutes({ runtime, handler: idempotency })
    ]),
    adminServer: createAdminServer({ runtime, lifecycle, journal, metrics, usage, control, peers }),
    lifecycle,
    journal,
    hybridClock,
    peers,
    start: (seeds = []) => {
      runtime.dispatch({ slice: 'membership', type: 'started', seeds })
      runtime.dispatch({ slice: 'control', type: 'started' })
    }
  }
}
