/** One row; `value` is base64. */
export interface StoredRow {
  readonly table: string
  readonly key: string
  readonly value: string
  readonly ver: number
}

/** A change of a row, for those that follow its table. */
export interface StoredChange {
  readonly table: string
  readonly key: string
  readonly ver: number
  /** Absent: the row was removed. */
  readonly value?: string
}

/** How the stand-in misbehaves. */
export type StoreFault =
  | 'none'
  /** Refuses all calls with 503. */
  | 'down'
  /** Accepts calls and never answers. */
  | 'silent'
  /** Does what writes ask and does not answer them. */
  | 'lost'

/** What a reader waits for. */
export interface Waiter {
  readonly callId: number
  readonly table: string
  readonly after: number
}

export interface StoreState {
  readonly rows: Map<string, StoredRow>
  readonly history: StoredChange[]
  readonly waiters: Map<number, Waiter>
  ver: number
  /** Changes up to this version are no longer in the history. */
  forgottenVer: number
  fault: StoreFault
}

/** @returns an empty store */
export function createStoreState (): StoreState {
  return { rows: new Map(), history: [], waiters: new Map(), ver: 0, forgottenVer: 0, fault: 'none' }
}
