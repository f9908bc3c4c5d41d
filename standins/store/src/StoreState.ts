/** A stored row; `value` is base64. */
export interface StoredRow {
  readonly table: string
  readonly key: string
  readonly value: string
  readonly ver: number
}

/** A change of a row, as the feed of its table reports it. */
export interface StoredChange {
  readonly table: string
  readonly key: string
  readonly ver: number
  /** Absent if the row was removed. */
  readonly value?: string
}

/** Faults of the stand-in. */
export type StoreFault =
  | 'none'
  /** Responds to all calls with 503. */
  | 'down'
  /** Accepts calls, but neither runs nor answers them. */
  | 'silent'
  /** Applies writes without sending a response. */
  | 'lost'

/** The content of the store at a moment. */
export interface StoreCopy {
  readonly rows: ReadonlyMap<string, StoredRow>
  readonly history: readonly StoredChange[]
  readonly ver: number
  readonly trimmedVer: number
}

/** A feed call that waits for changes of a table after a version. */
export interface FeedWaiter {
  readonly callId: number
  readonly table: string
  readonly after: number
}

export interface StoreState {
  readonly rows: Map<string, StoredRow>
  readonly history: StoredChange[]
  readonly waiters: Map<number, FeedWaiter>
  ver: number
  /** Version up to which changes have been removed from the history. */
  trimmedVer: number
  fault: StoreFault
  /** Rises by one each time the store is restored from a copy. */
  era: number
  copy?: StoreCopy
}

/** @returns the state of an empty store */
export function createStoreState (): StoreState {
  return { rows: new Map(), history: [], waiters: new Map(), ver: 0, trimmedVer: 0, fault: 'none', era: 1 }
}
