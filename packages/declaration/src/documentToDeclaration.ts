import { requireCompiled } from './CompiledDocument'
import type { ControlDocument } from './ControlDocument'
import type { Declaration } from './Declaration'
import { sortDeclaration } from './sortDeclaration'
import { toRouteDeclaration } from './toRouteEntry'

/**
 * Converts a control document back to a declaration.
 *
 * @param document - a document from `createDocument`, `decodeDocument` or `applyDelta`
 * @returns the declaration, sorted, with key hashes truncated to 128 bits
 * @public
 */
export function documentToDeclaration (document: ControlDocument): Declaration {
  const { teams, keys, routes, services, dataCentres } = requireCompiled(document).tables
  return sortDeclaration({
    teams: [...teams.entries()],
    keys: Array.from(keys.entries(), ([hash, row]) => ({ hash, team: teams.readId(row) })),
    routes: Array.from(routes.values(), toRouteDeclaration),
    services: [...services.values()],
    dataCentres: [...dataCentres.values()]
  })
}
