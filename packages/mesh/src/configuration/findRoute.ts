import type { FleetConfiguration, RouteRule } from './FleetConfiguration'

/**
 * Finds the route with the longest prefix of a path among the routes of a host.
 *
 * @param configuration - the configuration in force
 * @param host - host name without port, in lower case
 * @param path - path without query
 * @returns the route, or undefined
 * @public
 */
export function findRoute (configuration: FleetConfiguration, host: string, path: string): RouteRule | undefined {
  return configuration.routesByHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix))
}
