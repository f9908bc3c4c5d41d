import type { NodeId, ServerVersion, ServiceId } from '@lavenderturn/types'
import type { RolloutOrder, RolloutPhase } from './RolloutOrder'

/** Requests that one process may pass on to its backend server before the server's version is proven. @public */
export interface CanaryAllowance {
  readonly node: NodeId
  /** A restarted process does not know how many it has passed on, so it gets an allowance of its own. */
  readonly boot: string
  /** Counted from the order. */
  readonly requests: number
}

/** State of a roll-out as its conductor keeps it in the store. @public */
export interface RolloutRecord {
  readonly order: RolloutOrder
  readonly phase: RolloutPhase
  /** The node that conducts the roll-out. */
  readonly conductor: NodeId
  readonly conductorBoot: string
  /** Time in milliseconds since the order was learned. */
  readonly elapsedMs: number
  /** All allowances that were ever given. Their sum bounds how many requests reach the version. */
  readonly allowances: readonly CanaryAllowance[]
  /** Versions of earlier orders that were not completed. */
  readonly excluded: readonly ServerVersion[]
  /** Why the roll-out is in its phase, for operators. */
  readonly reason: string
}

/** A row of the store that holds a record. @public */
export interface StoredRollout {
  readonly service: ServiceId
  /** Version of the row, for conditional writes; 0 if there is none. */
  readonly version: number
  /** Absent if the row cannot be read or does not exist. */
  readonly record?: RolloutRecord
}
