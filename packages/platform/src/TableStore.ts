/** Key of a row: all rows of one partition are in one query. @public */
export interface RowKey {
  readonly partition: string
  readonly sort: string
}

/** A row; `version` is what conditional puts compare. @public */
export interface Row extends RowKey {
  readonly version: number
  readonly value: string
}

/** @public */
export interface PutOptions {
  /** The version that the row must have; `absent`: there must be no such row. Without it the put is unconditional. */
  readonly expected?: number | 'absent'
}

/** @public */
export interface QueryOptions {
  readonly partition: string
  /** Rows whose sort key starts with this; all rows of the partition by default. */
  readonly prefix?: string
}

/** The platform's transactional table service. All reads are consistent. @public */
export abstract class TableStore {
  /**
   * @param key - key of the row
   * @returns the row, or undefined if there is none
   * @throws UnreachableError when the service does not answer
   */
  abstract get (key: RowKey): Promise<Row | undefined>

  /**
   * Writes a row. A call whose outcome is unknown is never repeated here: only the caller can tell whether that is
   * safe.
   *
   * @param row - the new row
   * @param options - the condition
   * @throws ConditionFailedError when the condition did not hold
   * @throws UnreachableError when nothing was written
   * @throws OutcomeUnknownError when the row may have been written
   */
  abstract put (row: Row, options?: PutOptions): Promise<void>

  /**
   * @param options - partition and prefix
   * @returns the rows in the order of their sort keys
   * @throws UnreachableError when the service does not answer
   */
  abstract query (options: QueryOptions): Promise<Row[]>

  /**
   * Removes a row, if there is one.
   *
   * @param key - key of the row
   * @throws UnreachableError when nothing was removed
   * @throws OutcomeUnknownError when the row may have been removed
   */
  abstract delete (key: RowKey): Promise<void>

  /**
   * Closes all connections.
   *
   * @returns when they are closed
   */
  async close (): Promise<void> {}
}
