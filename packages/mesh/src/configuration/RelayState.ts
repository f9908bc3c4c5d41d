import type { Branded, Millis, NodeId, Revision } from '@lavenderturn/types'
import type { Confirmation } from './ConfigurationState'

/** Identifies a query for a confirmation. It cannot be guessed, so only the node that was asked can reply. @public */
export type QueryId = Branded<string, 'QueryId'>

/** A query that has not been answered. */
export interface OpenQuery {
  readonly node: NodeId
  /** Clock readings when it was sent. The reply cannot be older. */
  readonly askedAt: Confirmation
}

/**
 * Why a node does not count as one that follows the store: it left a query unanswered or does not follow (`absent`), or
 * it follows a store that does not serve it (`unserved`).
 */
export type RelayFault = 'absent' | 'unserved'

/** How this node learns of configurations: from the store or from the nodes that follow it. @public */
export interface RelayState {
  /** Whether this node follows the store itself. */
  following: boolean
  readonly queries: Map<QueryId, OpenQuery>
  /** Nodes of the data centre that cannot be relied on, until they report a current confirmation. */
  readonly faults: Map<NodeId, RelayFault>
  /** When any node last replied. */
  repliedAt: Millis
  /** Latest revision that another node has reported, and since when this node has known that it is behind. */
  reported?: { readonly revision: Revision, readonly at: Millis }
  /** Until when a fetch of a configuration from another node is in progress. */
  fetchUntil: Millis
  nextQuery: number
}
