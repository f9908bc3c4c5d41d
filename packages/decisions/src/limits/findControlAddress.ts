import type { Address, NodeId } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'

/**
 * @param state - the node's state
 * @param node - another node
 * @returns its control address, or undefined when it is not a member that can be called
 * @internal
 */
export function findControlAddress (state: NodeState, node: NodeId): Address | undefined {
  const member = state.membership.members.get(node)
  if (member === undefined || member.status === 'dead' || member.status === 'left') return undefined
  return member.record.controlAddress
}
