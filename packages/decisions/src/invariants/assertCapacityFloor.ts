import type { ServiceId } from '@lavenderturn/types'
import { countCapacity } from '../health/countCapacity'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

/**
 * I1: after the owner has granted an ejection permit, the service still has the healthy slots that its floor requires.
 *
 * @param state - the state after the permit was granted
 * @param service - the permit's service
 * @throws InvariantError if fewer healthy slots remain
 * @internal
 */
export function assertCapacityFloor (state: NodeState, service: ServiceId): void {
  const { announced, healthy, required } = countCapacity(state, service)
  if (healthy >= required) return
  throw new InvariantError(
    'I1', `${healthy} of ${announced} slots of service ${service} are healthy, but ${required} are required`
  )
}
