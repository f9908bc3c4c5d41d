import { type DataCentreId, type Millis, millis } from '@lavenderturn/types'
import type { FleetConfiguration } from './FleetConfiguration'
import type { RelayState } from './RelayState'
import { FIRST_POSITION, type StoreEra, type StorePosition } from './StorePosition'

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
  /** Data centres whose evacuation the store has lost, and until when it still holds. */
  readonly retainedEvacuations: Map<DataCentreId, Millis>
  confirmed?: Confirmation
  /** Where the store was when the content was read. */
  position: StorePosition
  /** Latest era of the store that this node knows of. */
  era: StoreEra
  /** Readings in a row that were ignored because a later one was known. */
  ignoredReadings: number
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
    retainedEvacuations: new Map(),
    position: FIRST_POSITION,
    era: FIRST_POSITION.era,
    ignoredReadings: 0,
    relay: {
      following: false, queries: new Map(), faults: new Map(), repliedAt: millis(0), fetchUntil: millis(0), nextQuery: 0
    }
  }
}
