/** Primary key of a row. A query reads the rows of one partition. @public */
export interface RowKey {
  readonly partition: string
  readonly sort: string
}

/** A row of the table. Conditional puts compare the `version`. @public */
export interface Row extends RowKey {
  readonly version: number
  readonly value: string
}

/** @public */
export interface PutOptions {
  /** Version that the row must have, or `absent` if the row must not exist. By default the put is unconditional. */
  readonly expected?: number | 'absent'
}

/** @public */
export interface QueryOptions {
  readonly partition: string
  /** Selects rows whose sort key starts with this prefix; by default all rows of the partition. */
  readonly prefix?: string
}

/** Client of the platform's transactional table service. All reads are strongly consistent. @public */
export abstract class TableStore {
  /**
   * Reads a row.
   *
   * @param key - key of the row
   * @returns the row, or undefined if it does not exist
   * @throws UnreachableError if the service does not respond
   */
  abstract get (key: RowKey): Promise<Row | undefined>

  /**
   * Writes a row. A put with an unknown outcome is not retried here, because only the caller knows whether a retry is
   * safe.
   *
   * @param row - the new row
   * @param options - the condition
   * @throws ConditionFailedError if the condition was not met
   * @throws UnreachableError if nothing was written
   * @throws OutcomeUnknownError if the row may have been written
   */
  abstract put (row: Row, options?: PutOptions): Promise<void>

  /**
   * Reads all rows of a partition whose sort key has a given prefix.
   *
   * @param options - partition and prefix
   * @returns the rows, ordered by sort key
   * @throws UnreachableError if the service does not respond
   */
  abstract query (options: QueryOptions): Promise<Row[]>

  /**
   * Deletes a row if it exists.
   *
   * @param key - key of the row
   * @throws UnreachableError if nothing was deleted
   * @throws OutcomeUnknownError if the row may have been deleted
   */
  abstract delete (key: RowKey): Promise<void>

  /**
   * Closes all connections.
   *
   * @returns a promise that resolves when they are closed
   */
  async close (): Promise<void> {}
}
