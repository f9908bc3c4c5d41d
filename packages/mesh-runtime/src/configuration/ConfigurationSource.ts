import type { FleetConfiguration } from '@lavenderturn/mesh'
import type { DataCentreId, Millis } from '@lavenderturn/types'

/** What a source says is in force. @public */
export interface SourceReading {
  /** Absent if it has not changed since the reading before, or cannot be read. */
  readonly configuration?: FleetConfiguration
  /** Absent if it has not changed since the reading before. */
  readonly evacuated?: ReadonlySet<DataCentreId>
  /** Where to go on. */
  readonly cursor: number
  /** The source's steady clock when it answered, on a scale of its own. */
  readonly storeTime: Millis
}

/** Where operators put the configuration. @public */
export abstract class ConfigurationSource {
  /**
   * Reads everything that is in force.
   *
   * @param signal - breaks the call off
   * @returns the reading
   * @throws StoreError when the store does not answer as it should
   */
  abstract read (signal: AbortSignal): Promise<SourceReading>

  /**
   * Waits for a change.
   *
   * @param cursor - cursor of the reading before
   * @param wait - the longest time to wait; without a change the reading holds the cursor only
   * @param signal - breaks the call off
   * @returns the reading, or undefined if the history since the cursor is lost
   * @throws StoreError when the store does not answer as it should
   */
  abstract follow (cursor: number, wait: Millis, signal: AbortSignal): Promise<SourceReading | undefined>
}
