import type { Address } from '@lavenderturn/types'

/** Starts or stops following the store. @public */
export interface FollowStore {
  readonly slice: 'configuration'
  readonly type: 'follow'
  readonly active: boolean
}

/** Reads the store once. Ignored while a call is in progress. @public */
export interface ReadStore {
  readonly slice: 'configuration'
  readonly type: 'read'
}

/** Fetches the configuration from another node. @public */
export interface FetchFromNode {
  readonly slice: 'configuration'
  readonly type: 'fetch'
  readonly address: Address
}

/** @public */
export type ConfigurationEffect = FetchFromNode | FollowStore | ReadStore
