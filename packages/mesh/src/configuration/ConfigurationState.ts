import { type DataCentreId, type Millis, millis } from '@lavenderturn/types'
import type { FleetConfiguration } from './FleetConfiguration'
import type { RelayState } from './RelayState'

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
  /** Version of the store when the content was read; of two contents the one of the greater version is newer. */
  version: number
  readonly relay: RelayState
  /** Why the newest configuration in the store cannot be read; an earlier one stays in force meanwhile. */
  unreadable?: string
}

/**
 * @returns the state of a node that has not read a configuration
 * @internal
 */
export function createConfigurationState (): ConfigurationState {
  return {
    evacuated: new Set(),
    version: 0,
    relay: {
      following: false, queries: new Map(), faults: new Map(), repliedAt: millis(0), fetchUntil: millis(0), nextQuery: 0
    }
  }
}
