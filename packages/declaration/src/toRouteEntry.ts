import { millis } from '@lavenderturn/types'
import type { RouteAccess, RouteEntry } from './ControlDocument'
import type { DeclaredAccess, RouteDeclaration } from './Declaration'

/**
 * @param route - a route as it stands in a declaration
 * @returns the route as the decisions read it
 * @internal
 */
export function toRouteEntry ({ access, deadlineMs, ...rest }: RouteDeclaration): RouteEntry {
  return { ...rest, access: toAccess(access), deadline: millis(deadlineMs) }
}

/**
 * @param route - a route as the decisions read it
 * @returns the route as it stands in a declaration
 * @internal
 */
export function toRouteDeclaration ({ access, deadline, ...rest }: RouteEntry): RouteDeclaration {
  return { ...rest, access: access.kind === 'teams' ? [...access.teams] : access.kind, deadlineMs: deadline }
}

function toAccess (access: DeclaredAccess): RouteAccess {
  return typeof access === 'string' ? { kind: access } : { kind: 'teams', teams: new Set(access) }
}
