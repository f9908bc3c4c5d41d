import type { DataCentreId } from '@lavenderturn/types'
import type { EventBase } from '../MeshEvent'
import type { Confirmation } from './ConfigurationState'
import type { FleetConfiguration } from './FleetConfiguration'

/** The store told what is in force; sent also when nothing has changed. @public */
export interface ConfigurationRead extends EventBase {
  readonly slice: 'configuration'
  readonly type: 'configurationRead'
  /** Absent if it has not changed. */
  readonly configuration?: FleetConfiguration
  /** Absent if it has not changed. */
  readonly evacuated?: ReadonlySet<DataCentreId>
  /** Clocks at which the call was sent: the answer cannot be older. */
  readonly confirmed: Confirmation
}

/** @public */
export type ConfigurationEvent = ConfigurationRead
