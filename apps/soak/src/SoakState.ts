import {
  type DataCentreId, type Millis, millis, type NodeId, type RequestId, type TeamId, toId
} from '@lavenderturn/types'
import type { PlannedAction } from './SoakAction'

/** Key of a team. @public */
export interface SoakKey {
  readonly text: string
  readonly team: TeamId
  /** Time of withdrawal; undefined while the key is valid. */
  withdrawnAt?: Millis
}

/** State of a node process. @public */
export interface SoakNode {
  readonly id: NodeId
  readonly dataCentre: DataCentreId
  status: 'running' | 'paused' | 'stopping' | 'gone'
  /** Time of the last request to stop. */
  stopRequestedAt?: Millis
  /** Intervals in which the process or its links were disturbed. */
  readonly disturbances: Array<{ readonly from: Millis, to: Millis }>
}

/** State of a backend server. @public */
export interface SoakServer {
  readonly node: NodeId
  status: 'ready' | 'draining' | 'crashed'
  /** Share of requests that are answered with an error. */
  errorShare: number
  /** Software version, and the share of errors that is its own. */
  version: string
  versionErrorShare: number
  /** Whether the server of another version that it replaced was stopped in the middle of its requests. */
  isStoppedAbruptly?: boolean
  /** Time of the last start; the server announces itself as cold for `COLD_TIME` after it. */
  startedAt: Millis
  /** Time at which the node beside it acknowledged the drain. */
  drainedAt?: Millis
}

/** Result of a request from the view of its caller; `cut`: no complete response. @public */
export type CallerResult =
  | { readonly kind: 'answer', readonly requestId: string, readonly whole: boolean }
  | { readonly kind: 'refusal', readonly status: number, readonly notRun: boolean }
  | { readonly kind: 'cut' }

/** A request of a caller and what is known of it. @public */
export interface SoakRequest {
  readonly id: RequestId
  readonly node: NodeId
  readonly team: TeamId
  readonly key: string
  readonly repeatable: boolean
  readonly sentAt: Millis
  readonly timeout: Millis
  /** Nodes whose backend server received the request, and when. */
  readonly runs: Array<{ readonly node: NodeId, readonly at: Millis }>
  result?: CallerResult
}

/** Phases of a run; `faults` includes the recovery, and `verification` requires that all requests succeed. @public */
export type SoakPhase = 'starting' | 'faults' | 'verification' | 'done'

/** A roll-out that operators have ordered. @public */
export interface SoakRollOut {
  readonly version: string
  readonly errorShare: number
  readonly nodes: readonly NodeId[]
}

/** State of the soak reducer. @public */
export interface SoakState {
  readonly plan: readonly PlannedAction[]
  phase: SoakPhase
  now: Millis
  /** Start of the verification phase. */
  verificationStartedAt?: Millis
  readonly nodes: Map<NodeId, SoakNode>
  readonly servers: Map<NodeId, SoakServer>
  readonly requests: Map<RequestId, SoakRequest>
  readonly keys: SoakKey[]
  /** Revision of the last configuration that the operator wrote. */
  revision: number
  readonly evacuated: Map<DataCentreId, Millis>
  /** The latest roll-out; kept after its end. */
  rollOut?: SoakRollOut
  /** Intervals in which the store, or the link of a node to it, was disturbed. */
  readonly storeDisturbances: Array<{ readonly from: Millis, to: Millis }>
  /** Number of active actions per affected resource; the last one to end reverts the fault. */
  readonly activeFaults: Map<string, number>
  nextRequest: number
  readonly violations: string[]
}

/** Team within its rate, whose requests must all succeed in the verification phase. @public */
export const STEADY_TEAM: TeamId = toId('steady')

/** Team that sends far more requests than its rate allows. @public */
export const GREEDY_TEAM: TeamId = toId('greedy')

/** Software version of all servers at the start. @public */
export const FIRST_VERSION = 'v1'

/** @public */
export interface SoakStateOptions {
  readonly plan: readonly PlannedAction[]
  readonly nodes: ReadonlyArray<Pick<SoakNode, 'id' | 'dataCentre'>>
}

/**
 * @param options - the plan and the nodes
 * @returns the initial state
 * @public
 */
export function createSoakState ({ plan, nodes }: SoakStateOptions): SoakState {
  return {
    plan,
    phase: 'starting',
    now: millis(0),
    nodes: new Map(nodes.map(({ id, dataCentre }) => [id, { id, dataCentre, status: 'gone', disturbances: [] }])),
    servers: new Map(nodes.map(({ id }) => {
      return [id, { node: id, status: 'ready', errorShare: 0, version: FIRST_VERSION, versionErrorShare: 0, startedAt: millis(0) }]
    })),
    requests: new Map(),
    keys: [{ text: 'steady-key-1', team: STEADY_TEAM }, { text: 'greedy-key', team: GREEDY_TEAM }],
    revision: 1,
    evacuated: new Map(),
    storeDisturbances: [],
    activeFaults: new Map(),
    nextRequest: 0,
    violations: []
  }
}
