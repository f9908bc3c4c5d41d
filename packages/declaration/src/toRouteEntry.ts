import { millis } from '@lavenderturn/types'
import type { RouteAccess, RouteEntry } from './ControlDocument'
import type { DeclaredAccess, RouteDeclaration } from './Declaration'

/** Shared by all routes that need no list, to save an object for each. */
const ACCESS_WITHOUT_LIST = { open: { kind: 'open' }, allTeams: { kind: 'allTeams' } } as const

/**
 * Fields are named one by one: objects made by rest and spread took about twice the memory.
 *
 * @param route - a route as it stands in a declaration
 * @returns the route as the decisions read it
 * @internal
 */
export function toRouteEntry (route: RouteDeclaration): RouteEntry {
  return {
    id: route.id,
    service: route.service,
    method: route.method,
    pathPrefix: route.pathPrefix,
    access: toAccess(route.access),
    repeatable: route.repeatable,
    bodyLimitBytes: route.bodyLimitBytes,
    deadline: millis(route.deadlineMs)
  }
}

/**
 * @param route - a route as the decisions read it
 * @returns the route as it stands in a declaration
 * @internal
 */
export function toRouteDeclaration ({ access, deadline, method, ...rest }: RouteEntry): RouteDeclaration {
  return {
    ...rest,
    ...(method === undefined ? {} : { method }),
    access: access.kind === 'teams' ? [...access.teams] : access.kind,
    deadlineMs: deadline
  }
}

function toAccess (access: DeclaredAccess): RouteAccess {
  return typeof access === 'string' ? ACCESS_WITHOUT_LIST[access] : { kind: 'teams', teams: new Set(access) }
}
