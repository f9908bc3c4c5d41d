import type { FleetConfiguration, RolloutOrder, StorePosition } from '@lavenderturn/mesh'
import type { DataCentreId, Millis, Revision } from '@lavenderturn/types'

/** The configuration in force, as read from a source. @public */
export interface ConfigurationReading {
  /** Absent if unchanged since the previous reading, or if it cannot be read. */
  readonly configuration?: FleetConfiguration
  /** Revision of the source's configuration, also if unchanged; absent if it has none that can be read. */
  readonly storedRevision?: Revision
  /** Why the newest configuration cannot be read; repeated with each reading until a readable one is in the source. */
  readonly unreadable?: string
  /** Data centres that are taken out; absent if unchanged since the previous reading. */
  readonly evacuated?: ReadonlySet<DataCentreId>
  /** Roll-outs that are ordered; absent if unchanged since the previous reading. */
  readonly rollouts?: readonly RolloutOrder[]
  /** Position in the history, to pass to `follow`. Its version increases with each change within an era. */
  readonly cursor: StorePosition
  /** The source's steady clock when it responded; its origin is arbitrary. */
  readonly storeTime: Millis
}

/** Store in which operators keep the configuration. @public */
export abstract class ConfigurationSource {
  /**
   * Reads the full state.
   *
   * @param signal - aborts the call
   * @returns the reading
   * @throws StoreError if the store rejects the call or its response is invalid
   */
  abstract read (signal: AbortSignal): Promise<ConfigurationReading>

  /**
   * Waits for a change.
   *
   * @param cursor - cursor of the previous reading
   * @param wait - the longest time to wait; if nothing changes, the reading contains no configuration
   * @param signal - aborts the call
   * @returns the reading, or undefined if the history since the cursor is no longer available
   * @throws StoreError if the store rejects the call or its response is invalid
   */
  abstract follow (cursor: StorePosition, wait: Millis, signal: AbortSignal): Promise<ConfigurationReading | undefined>

  /**
   * @returns the newest configuration in the form that `importDocument` of another node reads, or undefined if none was
   * read
   */
  abstract exportDocument (): string | undefined

  /**
   * Reads a configuration that another node has read from the source.
   *
   * @param document - what `exportDocument` of the other node returned
   * @returns the configuration, or why it cannot be read
   */
  abstract importDocument (
    document: string
  ): Pick<ConfigurationReading, 'configuration' | 'storedRevision' | 'unreadable'>
}
