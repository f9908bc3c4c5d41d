import type { PlatformFaults, StoredItem } from './PlatformState'

/** Key of an item in the table service. @public */
export interface ItemKey {
  readonly table: string
  readonly partition: string
  readonly sort: string
}

/** Condition on the stored item under which a put succeeds. @public */
export type PutCondition = { readonly kind: 'absent' } | { readonly kind: 'version', readonly version: number }

/** A decoded call to the table service or the object store. @public */
export type PlatformCall =
  | { readonly kind: 'getItem', readonly key: ItemKey }
  | { readonly kind: 'putItem', readonly table: string, readonly item: StoredItem, readonly condition?: PutCondition }
  | { readonly kind: 'query', readonly table: string, readonly partition: string, readonly prefix: string }
  | { readonly kind: 'deleteItem', readonly key: ItemKey }
  | { readonly kind: 'getObject', readonly path: string }
  | { readonly kind: 'putObject', readonly path: string, readonly bytes: Uint8Array }

/** A call has arrived. @public */
export interface CallArrived {
  readonly type: 'callArrived'
  readonly callId: number
  readonly call: PlatformCall
}

/** The delay of a call has ended, and the call takes effect. @public */
export interface CallDue {
  readonly type: 'callDue'
  readonly callId: number
  readonly call: PlatformCall
}

/** Changes the given faults and keeps the others. @public */
export interface FaultsCommanded {
  readonly type: 'faultsCommanded'
  readonly faults: Partial<PlatformFaults>
}

/** Events that the reducer handles. @public */
export type PlatformEvent = CallArrived | CallDue | FaultsCommanded
