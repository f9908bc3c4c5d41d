import type { Millis, ServerVersion, ServiceId } from '@lavenderturn/types'
import type { StorePosition } from '../configuration/StorePosition'

/** An operator's order to move the traffic of a service to servers of a version. @public */
export interface RolloutOrder {
  readonly service: ServiceId
  readonly to: ServerVersion
  /** Time in which the roll-out is to be completed. */
  readonly duration: Millis
  /** Where the store was when the order was written. */
  readonly position: StorePosition
}

/**
 * `canary`: a few requests reach the version, to find out whether it is sound. `promoting`: the version is proven and
 * takes over. `completed`: the servers of other versions are stopped. `rolledBack`: the version gets no requests.
 *
 * @public
 */
export type RolloutPhase = 'canary' | 'promoting' | 'completed' | 'rolledBack'

/**
 * @param phase - a phase
 * @returns whether it is the last one of a roll-out
 * @internal
 */
export function isFinal (phase: RolloutPhase): boolean {
  return phase === 'completed' || phase === 'rolledBack'
}

/**
 * Decides whether two orders are the same one. Operators write their orders again after the store was restored, and
 * these then have another position.
 *
 * @param left - an order
 * @param right - an order for the same service
 * @returns whether they are the same
 * @internal
 */
export function isSameOrder (left: RolloutOrder, right: RolloutOrder): boolean {
  if (left.to !== right.to) return false
  return left.position.era !== right.position.era || left.position.version === right.position.version
}
