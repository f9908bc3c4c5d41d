import type { KeyHash, Millis, Revision, RouteId, ServiceId, TeamId } from '@lavenderturn/types'

/** One of the services that a route leads to. @public */
export interface Destination {
  readonly service: ServiceId
  /** Share of the route's requests relative to the other destinations. */
  readonly weight: number
}

/** A route of the configuration. @public */
export interface RouteRule {
  readonly id: RouteId
  /** Host name in lower case. */
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly destinations: readonly Destination[]
  /** Whether a request may safely run more than once. */
  readonly repeatable: boolean
  /** Whether requests need no key. */
  readonly isPublic: boolean
  /** Longest time that a caller waits for an answer. */
  readonly timeout: Millis
  /** Target latency of an answer. */
  readonly targetLatency: Millis
  /** Largest number of endpoints that a request may be sent to. */
  readonly maxAttempts: number
  /** Priority rank; 0 is the most urgent. */
  readonly priority: number
}

/** @public */
export interface TeamRule {
  readonly id: TeamId
  /** Overrides the route's priority. */
  readonly priority?: number
  /** Requests per second over the whole fleet; 0 means unlimited. */
  readonly ratePerSecond: number
  /** Requests that may exceed the rate at once; 0 if the rate is 0. */
  readonly burst: number
}

/** @public */
export interface ServiceRule {
  readonly id: ServiceId
  /** Requests per second that a backend server can handle while it is cold. */
  readonly coldRatePerSecond: number
}

/** Limits on requests and connections of callers. @public */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeout: Millis
  readonly idleTimeout: Millis
}

/** A complete configuration at one revision. @public */
export interface FleetConfiguration {
  readonly revision: Revision
  /** Routes by host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly RouteRule[]>
  readonly teamsByKey: ReadonlyMap<KeyHash, TeamRule>
  /** Whether requests on routes that are not public need a key, also if no team could be read. */
  readonly requiresKeys: boolean
  readonly teams: ReadonlyMap<TeamId, TeamRule>
  readonly services: ReadonlyMap<ServiceId, ServiceRule>
  readonly limits: CallerLimits
  /**
   * Path prefixes of routes that could not be read, by host. Their requests are refused, because the route with the
   * next shorter prefix may lead to another service or need no key.
   */
  readonly unreadablePrefixes: ReadonlyMap<string, readonly string[]>
  /** One entry for each part that was left out because it could not be read: its path and the reason. */
  readonly unreadableParts: readonly string[]
}
