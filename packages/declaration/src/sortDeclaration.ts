import type { Declaration, RouteDeclaration } from './Declaration'
import { type AnyEntry, entryKey } from './entryKey'

/**
 * Sorts every section by UTF-16 code units, so that equal declarations have equal encodings.
 *
 * @param declaration - a declaration in any order
 * @returns a sorted copy
 * @public
 */
export function sortDeclaration (declaration: Declaration): Declaration {
  return {
    teams: sortEntries(declaration.teams),
    keys: sortEntries(declaration.keys),
    routes: sortEntries(declaration.routes.map(sortAccess)),
    services: sortEntries(declaration.services),
    dataCentres: sortEntries(declaration.dataCentres)
  }
}

function sortEntries<Entry extends AnyEntry> (entries: readonly Entry[]): Entry[] {
  return [...entries].sort((left, right) => compareCodeUnits(entryKey(left), entryKey(right)))
}

function sortAccess (route: RouteDeclaration): RouteDeclaration {
  return typeof route.access === 'string' ? route : { ...route, access: [...route.access].sort(compareCodeUnits) }
}

function compareCodeUnits (left: string, right: string): number {
  return left < right ? -1 : Number(left > right)
}
