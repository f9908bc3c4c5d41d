import type { Branded, DataCentreId, RegionId, RouteId, ServiceId, TeamId } from '@lavenderturn/types'
import type { DataCentreState, ServiceEntry, TeamEntry } from './ControlDocument'

/**
 * `sha256:` followed by the first 128 bits of a key's SHA-256 in lower-case hex. 128 bits are enough to distinguish
 * random keys, and take half the memory of full hashes.
 *
 * @public
 */
export type DeclaredKeyHash = Branded<string, 'DeclaredKeyHash'>

/** @public */
export interface KeyEntry {
  readonly hash: DeclaredKeyHash
  readonly team: TeamId
}

/** Access rule of a route, as written in a declaration file. @public */
export type DeclaredAccess = 'open' | 'allTeams' | readonly TeamId[]

/** A route as written in a declaration file. @public */
export interface RouteDeclaration {
  readonly id: RouteId
  readonly service: ServiceId
  /** HTTP method. If absent, the route matches any method. */
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
 * A complete declaration. Its JSON form is a valid declaration file. `parseDeclaration`, `decodeDeclaration` and
 * `documentToDeclaration` return it with every section sorted, so that equal declarations have equal encodings.
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

/** The sections, in the order in which they are encoded and printed. @public */
export const SECTION_NAMES = ['dataCentres', 'services', 'routes', 'teams', 'keys'] as const satisfies SectionName[]
