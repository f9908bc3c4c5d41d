import type { MemberRecord } from '@lavenderturn/mesh'
import type { NodeId } from '@lavenderturn/types'

/** Where nodes leave their addresses for each other. @public */
export abstract class MemberRegistry {
  /**
   * @param record - this node's record, which takes the place of an earlier one
   * @param signal - breaks the call off
   * @throws StoreError when the store does not answer as it should
   */
  abstract write (record: MemberRecord, signal: AbortSignal): Promise<void>

  /**
   * @param signal - breaks the call off
   * @returns the records of all nodes; those that cannot be read are left out
   * @throws StoreError when the store does not answer as it should
   */
  abstract list (signal: AbortSignal): Promise<MemberRecord[]>

  /**
   * @param node - a node that is gone for good
   * @param signal - breaks the call off
   * @throws StoreError when the store does not answer as it should
   */
  abstract remove (node: NodeId, signal: AbortSignal): Promise<void>
}
