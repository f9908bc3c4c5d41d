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

/**
 * Checks whether a request belongs to a route that could not be read. Its prefix is then at least as long as that of
 * the route that would match otherwise.
 *
 * @param configuration - the configuration in force
 * @param request - host name in lower case without the port, path without the query string, and the matching route
 * @returns whether the request has to be refused
 * @public
 */
export function isRouteUnreadable (
  { unreadablePrefixes }: FleetConfiguration,
  { host, path, route }: { readonly host: string, readonly path: string, readonly route?: RouteRule }
): boolean {
  const readableLength = route?.pathPrefix.length ?? 0
  return unreadablePrefixes.get(host)?.some((prefix) => {
    return prefix.length >= readableLength && path.startsWith(prefix)
  }) ?? false
}
