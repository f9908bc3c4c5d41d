import type { Revision } from '@lavenderturn/types'
import { CompiledDocument } from './CompiledDocument'
import type { ControlDocument } from './ControlDocument'
import type { Declaration } from './Declaration'
import { KeyTable } from './tables/KeyTable'
import { RouteTable } from './tables/RouteTable'
import { TeamTable } from './tables/TeamTable'
import { toRouteEntry } from './toRouteEntry'

/** @public */
export interface CreateDocumentOptions {
  /** A valid declaration, or the empty one. */
  readonly declaration: Declaration
  readonly revision: Revision
}

/**
 * Builds a control document from a declaration.
 *
 * @param options - declaration and revision
 * @returns the control document
 * @public
 */
export function createDocument ({ declaration, revision }: CreateDocumentOptions): ControlDocument {
  const teams = new TeamTable(declaration.teams)
  const keys = new KeyTable(declaration.keys.length)
  for (const { hash, team } of declaration.keys) {
    const row = teams.findRow(team)!
    keys.set(hash, row)
    teams.adjustKeyCount(row, 1)
  }
  return new CompiledDocument(revision, {
    teams,
    keys,
    routes: new RouteTable(declaration.routes.map(toRouteEntry)),
    services: new Map(declaration.services.map((service) => [service.id, service])),
    dataCentres: new Map(declaration.dataCentres.map((dataCentre) => [dataCentre.id, dataCentre]))
  })
}
