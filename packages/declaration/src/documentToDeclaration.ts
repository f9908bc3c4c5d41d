import { requireCompiled } from './CompiledDocument'
import type { ControlDocument } from './ControlDocument'
import type { Declaration } from './Declaration'
import { sortDeclaration } from './sortDeclaration'
import { toRouteDeclaration } from './toRouteEntry'

/**
 * @param document - a document from `createDocument` or `applyDelta`
 * @returns the declaration in force, sorted; hashes of keys are truncated to 128 bits
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
