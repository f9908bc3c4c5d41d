import type { DataCentreId, DomainId, KeyHash, Revision, ServiceId, TeamId } from '@lavenderturn/types'
import { toId } from '@lavenderturn/types'
import type { ControlDocument, DataCentreState, RouteEntry, ServiceEntry, TeamEntry } from './ControlDocument'
import type { DataCentreEntry } from './Declaration'
import { normalisePath } from './normalisePath'
import type { KeyTable } from './tables/KeyTable'
import type { RouteTable } from './tables/RouteTable'
import type { TeamTable } from './tables/TeamTable'

/** The tables that the documents of successive revisions share. @internal */
export interface DocumentTables {
  readonly teams: TeamTable
  readonly keys: KeyTable
  readonly routes: RouteTable
  readonly services: Map<ServiceId, ServiceEntry>
  readonly dataCentres: Map<DataCentreId, DataCentreEntry>
}

/** Control document that is backed by compact tables. @internal */
export class CompiledDocument implements ControlDocument {
  readonly domainKind: 'dataCentre' | 'region'
  readonly domains: readonly DomainId[]

  /**
   * @param revision - revision of the document
   * @param tables - tables that later revisions update in place
   */
  constructor (readonly revision: Revision, readonly tables: DocumentTables) {
    const entries = [...tables.dataCentres.values()]
    const regions = [...new Set(entries.map(({ region }) => region))].sort()
    this.domainKind = regions.length >= 2 ? 'region' : 'dataCentre'
    const names: string[] = regions.length >= 2 ? regions : entries.map(({ id }) => id).sort()
    this.domains = names.map((name) => toId(name))
  }

  /** {@inheritDoc ControlDocument.findTeamByKey} */
  findTeamByKey (keyHash: KeyHash): TeamId | undefined {
    const row = this.tables.keys.find(keyHash)
    return row === undefined ? undefined : this.tables.teams.readId(row)
  }

  /** {@inheritDoc ControlDocument.findTeam} */
  findTeam (team: TeamId): TeamEntry | undefined {
    const row = this.tables.teams.findRow(team)
    return row === undefined ? undefined : this.tables.teams.read(row)
  }

  /** {@inheritDoc ControlDocument.findRoute} */
  findRoute (method: string, path: string): RouteEntry | undefined {
    const normalised = normalisePath(path)
    return normalised === undefined ? undefined : this.tables.routes.find(method, normalised)
  }

  /** {@inheritDoc ControlDocument.findService} */
  findService (service: ServiceId): ServiceEntry | undefined {
    return this.tables.services.get(service)
  }

  /** {@inheritDoc ControlDocument.dataCentreState} */
  dataCentreState (dataCentre: DataCentreId): DataCentreState {
    // A data centre that is not declared accepts no work.
    return this.tables.dataCentres.get(dataCentre)?.state ?? 'out'
  }
}

/**
 * Gives access to the tables of a control document.
 *
 * @param document - a control document
 * @returns the same document
 * @throws TypeError if it was not created by `createDocument`, `decodeDocument` or `applyDelta`
 * @internal
 */
export function requireCompiled (document: ControlDocument): CompiledDocument {
  if (document instanceof CompiledDocument) return document
  throw new TypeError('the document was not created by createDocument, decodeDocument or applyDelta')
}
