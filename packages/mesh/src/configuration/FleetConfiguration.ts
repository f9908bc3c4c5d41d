import type { KeyHash, Millis, Revision, RouteId, ServiceId, TeamId } from '@lavenderturn/types'

/** One of the services that a route leads to. @public */
export interface Destination {
  readonly service: ServiceId
  /** Share of the route's requests, relative to the other destinations. */
  readonly weight: number
}

/** A route as the decisions read it. @public */
export interface RouteRule {
  readonly id: RouteId
  /** Host name in lower case. */
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly destinations: readonly Destination[]
  /** Whether running a request more than once does no harm. */
  readonly repeatable: boolean
  /** Whether requests need no key. */
  readonly open: boolean
  /** Longest time that a caller is kept waiting. */
  readonly timeout: Millis
  /** Time within which an answer is on time. */
  readonly target: Millis
  /** Endpoints that one request may be sent to. */
  readonly maxAttempts: number
  /** Rank; 0 is the most urgent. */
  readonly priority: number
}

/** @public */
export interface TeamRule {
  readonly id: TeamId
  /** Takes the place of the route's priority. */
  readonly priority?: number
  /** Requests a second over the whole fleet; 0: unlimited. */
  readonly ratePerSecond: number
  /** Requests that may exceed the rate at once; 0 with a rate of 0. */
  readonly burst: number
}

/** @public */
export interface ServiceRule {
  readonly id: ServiceId
  /** Requests a second that a backend server bears while it is cold. */
  readonly coldRatePerSecond: number
}

/** What a caller may send. @public */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeout: Millis
  readonly idleTimeout: Millis
}

/** A complete configuration at one revision. @public */
export interface FleetConfiguration {
  readonly revision: Revision
  /** Routes of each host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly RouteRule[]>
  readonly teamsByKey: ReadonlyMap<KeyHash, TeamRule>
  readonly teams: ReadonlyMap<TeamId, TeamRule>
  readonly services: ReadonlyMap<ServiceId, ServiceRule>
  readonly limits: CallerLimits
}
