import type { Departure, MemberRecord } from '@lavenderturn/mesh'
import type { NodeId } from '@lavenderturn/types'

/** Shared registry of the addresses of all nodes. @public */
export abstract class MemberRegistry {
  /**
   * @param record - this node's record; replaces the previous one
   * @param signal - aborts the call
   * @returns the latest departure that a process of this node has recorded, if any
   * @throws StoreError if the store rejects the call or its response is invalid
   */
  abstract write (record: MemberRecord, signal: AbortSignal): Promise<Departure | undefined>

  /**
   * Records a departure of this node's backend server, unless a later one is recorded.
   *
   * @param node - this node
   * @param departure - the departure
   * @param signal - aborts the call
   * @throws StoreError if the store rejects the call or its response is invalid
   */
  abstract recordDeparture (node: NodeId, departure: Departure, signal: AbortSignal): Promise<void>

  /**
   * @param signal - aborts the call
   * @returns the records of all nodes, without those that cannot be decoded
   * @throws StoreError if the store rejects the call or its response is invalid
   */
  abstract list (signal: AbortSignal): Promise<MemberRecord[]>

  /**
   * @param node - a node that has left permanently
   * @param signal - aborts the call
   * @throws StoreError if the store rejects the call or its response is invalid
   */
  abstract remove (node: NodeId, signal: AbortSignal): Promise<void>
}
