import type { DataCentreId, Millis, NodeId } from '@lavenderturn/types'
import type { LinkMode } from './links/LinkMode'

/** Fault of the store that affects all nodes. @public */
export type StoreFault = 'down' | 'silent' | 'lost'

/** A fault to inject or an operator action. Reports print the kinds. @public */
export type SoakAction =
  /** Stops the process gracefully with SIGTERM; it is restarted after it has exited. */
  | { readonly kind: 'stopNode', readonly node: NodeId }
  | { readonly kind: 'killNode', readonly node: NodeId }
  /** Suspends the process with SIGSTOP until the action is reverted. */
  | { readonly kind: 'pauseNode', readonly node: NodeId }
  /** Writes a changed settings file and sends SIGHUP. */
  | { readonly kind: 'reloadSettings', readonly node: NodeId }
  /** Shifts the wall clock of the node. */
  | { readonly kind: 'stepClock', readonly node: NodeId, readonly byMs: number }
  /** Drops all datagrams from or to the node. */
  | { readonly kind: 'loseDatagrams', readonly node: NodeId, readonly direction: 'from' | 'to' }
  /** Disturbs the connections over which other nodes forward requests to the node. */
  | { readonly kind: 'disturbForwards', readonly node: NodeId, readonly mode: LinkMode }
  /** Disturbs the connections of the node to the store. */
  | { readonly kind: 'disturbStore', readonly node: NodeId, readonly mode: LinkMode }
  | { readonly kind: 'troubleStore', readonly fault: StoreFault }
  | { readonly kind: 'dropHistory' }
  /** Takes a copy of the store, and restores it at the end of the action. What operators wrote is written again. */
  | { readonly kind: 'restoreStore' }
  /** Resets all connections of the backend server; afterwards it restarts cold. */
  | { readonly kind: 'crashServer', readonly node: NodeId }
  /** Makes the backend server answer this share of its requests with errors. */
  | { readonly kind: 'failServer', readonly node: NodeId, readonly share: number }
  | { readonly kind: 'drainServer', readonly node: NodeId }
  /** Withdraws the key in use and issues a new one. */
  | { readonly kind: 'withdrawKey' }
  | { readonly kind: 'evacuate', readonly dataCentre: DataCentreId }
  /** Orders a version, to which some servers are restarted; it answers this share of its requests with errors. */
  | { readonly kind: 'rollOut', readonly nodes: readonly NodeId[], readonly errorShare: number }

/** An action and when it takes place. @public */
export interface PlannedAction {
  /** Start, relative to the start of the fault phase. */
  readonly at: Millis
  /** Time after which the action is reverted; ignored for actions that cannot be reverted. */
  readonly duration: Millis
  readonly action: SoakAction
}
