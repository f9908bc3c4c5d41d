import { createClient } from '@connectrpc/connect'
import type { Address, NodeId } from '@lavenderturn/types'
import { ControlService } from '@lavenderturn/wire'
import type { PeerTransports } from '../peers/PeerTransports'

/** Members that take longer are listed without a revision. */
const CALL_TIMEOUT_MS = 1_000

/** Concurrent calls, so that the status of 2,600 members does not open 2,600 connections at once. */
const MAX_CONCURRENT_CALLS = 64

/** A member and its control address. @internal */
export interface MemberAddress {
  readonly nodeId: NodeId
  readonly controlAddress: Address
}

/**
 * Asks members for the revision of the declaration that is in force at each of them.
 *
 * @param transports - connections to other nodes
 * @param members - the members to ask
 * @returns the revisions by member, without members that did not answer
 * @internal
 */
export async function collectRevisions (
  transports: PeerTransports,
  members: readonly MemberAddress[]
): Promise<Map<NodeId, number>> {
  const revisions = new Map<NodeId, number>()
  const queue = [...members]
  const worker = async (): Promise<void> => {
    for (let member = queue.pop(); member !== undefined; member = queue.pop()) {
      const client = createClient(ControlService, transports.get(member.controlAddress))
      const status = await client.status({}, { timeoutMs: CALL_TIMEOUT_MS }).catch(() => undefined)
      if (status !== undefined) revisions.set(member.nodeId, Number(status.declarationRevision))
    }
  }
  await Promise.all(Array.from({ length: MAX_CONCURRENT_CALLS }, worker))
  return revisions
}
