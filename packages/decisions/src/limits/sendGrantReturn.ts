import type { PartitionId } from '@lavenderturn/types'
import { findOwner } from '../control/Assignment'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { applyGrantReturn } from './answerGrantRequest'
import { findControlAddress } from './findControlAddress'
import type { GrantStatement } from './GrantMessages'

/**
 * Sends a return to the owner. If no owner can be called, the shares return to it when the grant expires.
 *
 * @param state - the node's state
 * @param partition - the team's partition
 * @param statement - what the holder keeps and returns
 * @param effects - receives the call
 * @internal
 */
export function sendGrantReturn (
  state: NodeState,
  partition: PartitionId,
  statement: GrantStatement,
  effects: NodeEffect[]
): void {
  const entry = findOwner(state, partition, statement.domain)
  if (entry === undefined) return
  if (entry.owner === state.identity.nodeId) {
    effects.push(...applyGrantReturn(state, statement))
    return
  }
  const address = findControlAddress(state, entry.owner)
  if (address !== undefined) {
    effects.push({ slice: 'limits', type: 'returnGrant', node: entry.owner, address, statement })
  }
}
