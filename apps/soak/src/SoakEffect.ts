import type { DataCentreId, Millis, NodeId } from '@lavenderturn/types'
import type { LinkMode } from './links/LinkMode'
import type { StoreFault } from './SoakAction'
import type { SoakEventBody } from './SoakEvent'
import type { SoakKey, SoakRequest, SoakServer } from './SoakState'

/** Side effects that the soak reducer requests. @public */
export type SoakEffect =
  | { readonly type: 'startNode', readonly node: NodeId }
  | { readonly type: 'signalNode', readonly node: NodeId, readonly signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' }
  | { readonly type: 'reloadSettings', readonly node: NodeId }
  | { readonly type: 'setClock', readonly node: NodeId, readonly offsetMs: number }
  | { readonly type: 'setLoss', readonly node: NodeId, readonly direction: 'from' | 'to', readonly lost: boolean }
  | { readonly type: 'setForwardLink', readonly node: NodeId, readonly mode: LinkMode }
  | { readonly type: 'setStoreLink', readonly node: NodeId, readonly mode: LinkMode }
  | { readonly type: 'setStoreFault', readonly fault: StoreFault | 'none' }
  | { readonly type: 'dropHistory' }
  | { readonly type: 'copyStore' }
  | { readonly type: 'restoreStore' }
  | { readonly type: 'setServer', readonly server: SoakServer }
  | { readonly type: 'writeConfiguration', readonly revision: number, readonly keys: readonly SoakKey[] }
  | { readonly type: 'writeEvacuation', readonly dataCentre: DataCentreId, readonly out: boolean }
  /** Writes the order of a version, or takes it back if there is none. */
  | { readonly type: 'writeRollOut', readonly version?: string }
  | { readonly type: 'readRollOut' }
  | { readonly type: 'sendRequest', readonly request: SoakRequest }
  | { readonly type: 'after', readonly delay: Millis, readonly event: SoakEventBody }
  | { readonly type: 'finish' }
