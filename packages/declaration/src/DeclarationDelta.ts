import type { DataCentreId, RouteId, ServiceId, TeamId } from '@lavenderturn/types'
import type { Declaration, DeclaredKeyHash } from './Declaration'

/** The changes from one declaration to another. @public */
export interface DeclarationDelta {
  /** New and modified entries, with all their fields. */
  readonly changed: Declaration
  readonly removed: {
    readonly teams: readonly TeamId[]
    readonly keys: readonly DeclaredKeyHash[]
    readonly routes: readonly RouteId[]
    readonly services: readonly ServiceId[]
    readonly dataCentres: readonly DataCentreId[]
  }
}
