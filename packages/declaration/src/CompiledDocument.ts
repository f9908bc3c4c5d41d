import type { DataCentreId, DomainId, KeyHash, Revision, ServiceId, TeamId } from '@lavenderturn/types'
import { toId } from '@lavenderturn/types'
import type { ControlDocument, DataCentreState, RouteEntry, ServiceEntry, TeamEntry } from './ControlDocument'
import type { DataCentreEntry } from './Declaration'
import { normalisePath } from './normalisePath'
import type { KeyTable } from './tables/KeyTable'
import type { RouteTable } from './tables/RouteTable'
import type { TeamTable } from './tables/TeamTable'

/** The tables behind the documents of successive revisions. @internal */
export interface DocumentTables {
  readonly teams: TeamTable
  readonly keys: KeyTable
  readonly routes: RouteTable
  readonly services: Map<ServiceId, ServiceEntry>
  readonly dataCentres: Map<DataCentreId, DataCentreEntry>
}

/** The control document over compact tables. @internal */
export class CompiledDocument implements ControlDocument {
  readonly domainKind: 'dataCentre' | 'region'
  readonly domains: readonly DomainId[]

  /**
   * @param revision - the revision
   * @param tables - tables that later revisions go on using
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
    const normal = normalisePath(path)
    return normal === undefined ? undefined : this.tables.routes.find(method, normal)
  }

  /** {@inheritDoc ControlDocument.findService} */
  findService (service: ServiceId): ServiceEntry | undefined {
    return this.tables.services.get(service)
  }

  /** {@inheritDoc ControlDocument.dataCentreState} */
  dataCentreState (dataCentre: DataCentreId): DataCentreState {
    // A data centre that is not declared takes no work.
    return this.tables.dataCentres.get(dataCentre)?.state ?? 'out'
  }
}

/**
 * @param document - a control document
 * @returns the same, with its tables
 * @throws TypeError - the document did not come from `createDocument`
 * @internal
 */
export function requireCompiled (document: ControlDocument): CompiledDocument {
  if (document instanceof CompiledDocument) return document
  throw new TypeError('the document was not made by createDocument')
}
