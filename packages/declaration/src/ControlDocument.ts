import type { DataCentreId, DomainId, KeyHash, Millis, Revision, RouteId, ServiceId, TeamId } from '@lavenderturn/types'

/** @public */
export interface TeamEntry {
  readonly id: TeamId
  readonly ratePerSecond: number
  readonly burst: number
}

/** Access rule of a route: anyone without a key, all teams, or only the listed teams. @public */
export type RouteAccess =
  | { readonly kind: 'open' }
  | { readonly kind: 'allTeams' }
  | { readonly kind: 'teams', readonly teams: ReadonlySet<TeamId> }

/** @public */
export interface RouteEntry {
  readonly id: RouteId
  readonly service: ServiceId
  /** HTTP method. If absent, the route matches any method. */
  readonly method?: string
  /** Matches whole path segments. The route with the longest matching prefix is used. */
  readonly pathPrefix: string
  readonly access: RouteAccess
  /** Whether requests are idempotent, so that running one twice does no harm. */
  readonly repeatable: boolean
  readonly bodyLimitBytes: number
  readonly deadline: Millis
}

/** @public */
export interface ServiceEntry {
  readonly id: ServiceId
  /** Minimum fraction of the announced slots that ejection must leave available, in `[0, 1]`. */
  readonly floor: number
}

/** Whether a data centre accepts work. @public */
export type DataCentreState = 'in' | 'out'

/** Read access to the accepted configuration at one revision, for the reducer. @public */
export interface ControlDocument {
  readonly revision: Revision
  /** Whether a team's rate is divided by data centre (if there is one region) or by region (if there are several). */
  readonly domainKind: 'dataCentre' | 'region'
  /** The declared data centres or regions, depending on `domainKind`. */
  readonly domains: readonly DomainId[]
  /**
   * @param keyHash - hash of the caller's key
   * @returns the team that owns the key, or undefined if the key is unknown
   */
  findTeamByKey: (keyHash: KeyHash) => TeamId | undefined
  findTeam: (team: TeamId) => TeamEntry | undefined
  /**
   * @param method - HTTP method in upper case
   * @param path - path without query
   * @returns the route with the longest matching prefix, or undefined if none matches
   */
  findRoute: (method: string, path: string) => RouteEntry | undefined
  findService: (service: ServiceId) => ServiceEntry | undefined
  dataCentreState: (dataCentre: DataCentreId) => DataCentreState
}
