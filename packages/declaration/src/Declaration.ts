import type { Branded, DataCentreId, RegionId, RouteId, ServiceId, TeamId } from '@lavenderturn/types'
import type { DataCentreState, ServiceEntry, TeamEntry } from './ControlDocument'

/**
 * `sha256:` and the first 128 bits of a key's SHA-256 in lower-case hex. 128 bits are enough to keep random keys
 * apart, and half the memory of whole hashes.
 *
 * @public
 */
export type DeclaredKeyHash = Branded<string, 'DeclaredKeyHash'>

/** @public */
export interface KeyEntry {
  readonly hash: DeclaredKeyHash
  readonly team: TeamId
}

/** Who may use a route, as it stands in a file. @public */
export type DeclaredAccess = 'open' | 'allTeams' | readonly TeamId[]

/** A route as it stands in a file. @public */
export interface RouteDeclaration {
  readonly id: RouteId
  readonly service: ServiceId
  /** Absent: any method. */
  readonly method?: string
  readonly pathPrefix: string
  readonly access: DeclaredAccess
  readonly repeatable: boolean
  readonly bodyLimitBytes: number
  readonly deadlineMs: number
}

/** @public */
export interface DataCentreEntry {
  readonly id: DataCentreId
  readonly region: RegionId
  readonly state: DataCentreState
}

/**
 * A whole declaration. Its JSON form is a valid declaration file. `parseDeclaration`, `decodeDeclaration` and
 * `documentToDeclaration` return it with every section sorted, so that equal declarations have equal bytes.
 *
 * @public
 */
export interface Declaration {
  readonly teams: readonly TeamEntry[]
  readonly keys: readonly KeyEntry[]
  readonly routes: readonly RouteDeclaration[]
  readonly services: readonly ServiceEntry[]
  readonly dataCentres: readonly DataCentreEntry[]
}

/** @public */
export type SectionName = keyof Declaration

/** The sections in the order of encodings and reports. @public */
export const SECTION_NAMES = ['dataCentres', 'services', 'routes', 'teams', 'keys'] as const satisfies SectionName[]
