import type { Millis, NodeId, RequestId } from '@lavenderturn/types'
import type { CallerResult } from './SoakState'

/** Input of the soak reducer, without the time. @public */
export type SoakEventBody =
  /** All nodes are ready and have registered as members. */
  | { readonly type: 'fleetReady' }
  | { readonly type: 'actionDue', readonly index: number }
  | { readonly type: 'actionEnded', readonly index: number }
  /** The next request of a team is due. */
  | { readonly type: 'requestDue', readonly greedy: boolean }
  | { readonly type: 'requestEnded', readonly requestId: RequestId, readonly result: CallerResult }
  | { readonly type: 'runStarted', readonly node: NodeId, readonly requestId: RequestId }
  /** The node beside a backend server acknowledged that the server is draining. */
  | { readonly type: 'drainAcknowledged', readonly node: NodeId }
  | { readonly type: 'nodeExited', readonly node: NodeId, readonly code: number | null, readonly signal: string | null }
  | { readonly type: 'restartDue', readonly node: NodeId }
  /** The status of a roll-out was read; absent if there is none. */
  | { readonly type: 'rollOutRead', readonly status?: string }
  | { readonly type: 'recoveryEnded' }
  | { readonly type: 'verificationEnded' }

/** Input of the soak reducer. @public */
export type SoakEvent = SoakEventBody & { readonly at: Millis }
