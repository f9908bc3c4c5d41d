import type { DataCentreId, Millis } from '@lavenderturn/types'
import type { FleetConfiguration } from './FleetConfiguration'

/** When the store last confirmed the configuration in force. */
export interface Confirmation {
  /** Steady clock of this process. */
  readonly steadyAt: Millis
  /** Time of day. It advances while the machine is suspended, when the steady clock may stand still. */
  readonly wallAt: Millis
}

/** @public */
export interface ConfigurationState {
  /** Absent until the first configuration has been read. */
  current?: FleetConfiguration
  /** Data centres that operators have evacuated. */
  evacuated: ReadonlySet<DataCentreId>
  confirmed?: Confirmation
  /** Why the newest configuration in the store cannot be read; an earlier one stays in force meanwhile. */
  unreadable?: string
}

/**
 * @returns the state of a node that has not read a configuration
 * @internal
 */
export function createConfigurationState (): ConfigurationState {
  return { evacuated: new Set() }
}
