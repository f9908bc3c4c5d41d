import type { RolloutRecord, StoredRollout, StoreEra, StorePosition } from '@lavenderturn/mesh'

/** Result of a conditional write. @public */
export type RecordWrite =
  | { readonly kind: 'applied', readonly position: StorePosition }
  /** The row has another version than expected. */
  | { readonly kind: 'conflict', readonly stored: StoredRollout, readonly era: StoreEra }

/** Shared records of the roll-outs of versions, and their status for operators. @public */
export abstract class RolloutRegistry {
  /**
   * @param signal - aborts the call
   * @returns the records of all services, and the era of the store
   * @throws StoreError if the store rejects the call or its response is invalid
   */
  abstract list (signal: AbortSignal): Promise<{ readonly stored: readonly StoredRollout[], readonly era: StoreEra }>

  /**
   * Writes a record, and the status that operators read, in one transaction.
   *
   * @param record - the record
   * @param expectedVersion - version that the row must have; 0 if it must not exist
   * @param signal - aborts the call
   * @returns whether it was applied, and the row if it was not
   * @throws StoreError if the store rejects the call or its response is invalid
   */
  abstract write (record: RolloutRecord, expectedVersion: number, signal: AbortSignal): Promise<RecordWrite>
}
