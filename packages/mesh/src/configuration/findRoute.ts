import type { FleetConfiguration, RouteRule } from './FleetConfiguration'

/**
 * Finds the route of a host with the longest prefix of a path.
 *
 * @param configuration - the configuration in force
 * @param host - host name in lower case, without the port
 * @param path - path without the query string
 * @returns the route, or undefined if none matches
 * @public
 */
export function findRoute (configuration: FleetConfiguration, host: string, path: string): RouteRule | undefined {
  return configuration.routesByHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix))
}
