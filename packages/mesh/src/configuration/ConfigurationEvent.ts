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
  /** Clock readings when the call was sent. The answer cannot be older. */
  readonly confirmed: Confirmation
}

/** @public */
export type ConfigurationEvent = ConfigurationRead
