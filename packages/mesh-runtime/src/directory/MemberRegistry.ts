import type { Departure, MemberRecord, StoreEra } from '@lavenderturn/mesh'
import type { NodeId } from '@lavenderturn/types'

/** Result of writing a record. @public */
export interface RegistryWrite {
  /** The latest departure that a process of this node has recorded, if any. */
  readonly departure?: Departure
  /** Era of the store that has the record. */
  readonly era: StoreEra
}

/** Shared registry of the addresses of all nodes. @public */
export abstract class MemberRegistry {
  /**
   * Writes this node's record, and its latest departure if the store has lost it.
   *
   * @param record - this node's record; replaces the previous one
   * @param signal - aborts the call
   * @returns the latest departure and the era of the store
   * @throws StoreError if the store rejects the call or its response is invalid
   */
  abstract write (record: MemberRecord, signal: AbortSignal): Promise<RegistryWrite>

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
