import type { PlatformFaults, StoredItem } from './PlatformState'

/** @public */
export interface ItemKey {
  readonly table: string
  readonly partition: string
  readonly sort: string
}

/** Condition of a put. @public */
export type PutCondition = { readonly kind: 'absent' } | { readonly kind: 'version', readonly version: number }

/** A call of the table service or the object store, decoded. @public */
export type PlatformCall =
  | { readonly kind: 'getItem', readonly key: ItemKey }
  | { readonly kind: 'putItem', readonly table: string, readonly item: StoredItem, readonly condition?: PutCondition }
  | { readonly kind: 'query', readonly table: string, readonly partition: string, readonly prefix: string }
  | { readonly kind: 'deleteItem', readonly key: ItemKey }
  | { readonly kind: 'getObject', readonly path: string }
  | { readonly kind: 'putObject', readonly path: string, readonly bytes: Uint8Array }

/** A call came. @public */
export interface CallArrived {
  readonly type: 'callArrived'
  readonly exchange: number
  readonly call: PlatformCall
}

/** The delay of a call is over, and it takes effect. @public */
export interface CallDue {
  readonly type: 'callDue'
  readonly exchange: number
  readonly call: PlatformCall
}

/** An operator commands faults; those that are not named stay as they are. @public */
export interface FaultsCommanded {
  readonly type: 'faultsCommanded'
  readonly faults: Partial<PlatformFaults>
}

/** @public */
export type PlatformEvent = CallArrived | CallDue | FaultsCommanded
