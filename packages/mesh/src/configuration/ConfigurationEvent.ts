import type { DataCentreId } from '@lavenderturn/types'
import type { EventBase } from '../MeshEvent'
import type { Confirmation } from './ConfigurationState'
import type { FleetConfiguration } from './FleetConfiguration'

/** The configuration store was read. Also sent when nothing has changed. @public */
export interface ConfigurationRead extends EventBase {
  readonly slice: 'configuration'
  readonly type: 'configurationRead'
  /** Absent if unchanged. */
  readonly configuration?: FleetConfiguration
  /** Absent if unchanged. */
  readonly evacuated?: ReadonlySet<DataCentreId>
  /** Why the newest configuration cannot be read; absent if it can. It then does not count as confirmed. */
  readonly unreadable?: string
  /** Clock readings when the call was sent. The answer cannot be older. */
  readonly confirmed: Confirmation
}

/** @public */
export type ConfigurationEvent = ConfigurationRead
