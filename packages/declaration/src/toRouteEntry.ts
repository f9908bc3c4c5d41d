import { millis } from '@lavenderturn/types'
import type { RouteAccess, RouteEntry } from './ControlDocument'
import type { DeclaredAccess, RouteDeclaration } from './Declaration'

/** Access rules without a list of teams. All routes share these objects to save memory. */
const SHARED_ACCESS = { open: { kind: 'open' }, allTeams: { kind: 'allTeams' } } as const

/**
 * Converts a route to the form in which the control document returns it. The fields are copied one by one, because
 * objects created by rest and spread used about twice the memory.
 *
 * @param route - a route of a declaration
 * @returns the route of a control document
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
 * Converts a route back to the form in which a declaration contains it.
 *
 * @param route - a route of a control document
 * @returns the route of a declaration
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
  return typeof access === 'string' ? SHARED_ACCESS[access] : { kind: 'teams', teams: new Set(access) }
}
