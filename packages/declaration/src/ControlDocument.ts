import type { DataCentreId, DomainId, KeyHash, Millis, Revision, RouteId, ServiceId, TeamId } from '@lavenderturn/types'

/** @public */
export interface TeamEntry {
  readonly id: TeamId
  readonly ratePerSecond: number
  readonly burst: number
}

/** Who may use a route. @public */
export type RouteAccess =
  | { readonly kind: 'open' }
  | { readonly kind: 'allTeams' }
  | { readonly kind: 'teams', readonly teams: ReadonlySet<TeamId> }

/** @public */
export interface RouteEntry {
  readonly id: RouteId
  readonly service: ServiceId
  /** Absent: any method. */
  readonly method?: string
  /** Matches whole path segments; the longest prefix wins. */
  readonly pathPrefix: string
  readonly access: RouteAccess
  /** Whether running a request twice does no harm. */
  readonly repeatable: boolean
  readonly bodyLimitBytes: number
  readonly deadline: Millis
}

/** @public */
export interface ServiceEntry {
  readonly id: ServiceId
  /** Least share of announced slots that ejection must leave, in `[0, 1]`. */
  readonly floor: number
}

/** @public */
export type DataCentreState = 'in' | 'out'

/** The accepted configuration at one revision, as the decisions read it. @public */
export interface ControlDocument {
  readonly revision: Revision
  /** Whether a team's rate is divided by data centre (one region) or by region (several). */
  readonly domainKind: 'dataCentre' | 'region'
  /** The declared data centres or regions, by `domainKind`. */
  readonly domains: readonly DomainId[]
  /**
   * @param keyHash - hash of the caller's key
   * @returns the team that owns the key, or undefined
   */
  findTeamByKey: (keyHash: KeyHash) => TeamId | undefined
  findTeam: (team: TeamId) => TeamEntry | undefined
  /**
   * @param method - HTTP method in upper case
   * @param path - path without query
   * @returns the route with the longest matching prefix, or undefined
   */
  findRoute: (method: string, path: string) => RouteEntry | undefined
  findService: (service: ServiceId) => ServiceEntry | undefined
  dataCentreState: (dataCentre: DataCentreId) => DataCentreState
}
