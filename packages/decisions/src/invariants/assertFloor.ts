import type { ServiceId } from '@lavenderturn/types'
import { countCapacity } from '../health/countCapacity'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

/**
 * I1: after the owner has given a permit, the service keeps the healthy slots that its floor asks for.
 *
 * @param state - the state after the permit was given
 * @param service - its service
 * @throws InvariantError when fewer slots are left
 * @internal
 */
export function assertFloor (state: NodeState, service: ServiceId): void {
  const { announced, healthy, needed } = countCapacity(state, service)
  if (healthy >= needed) return
  throw new InvariantError('I1', `${healthy} of ${announced} slots of ${service} are left, ${needed} are needed`)
}
