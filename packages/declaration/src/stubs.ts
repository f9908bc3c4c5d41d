/**
 * Minimal stand-ins for exports that the declaration package gets from another branch. The merge deletes this file.
 */
import { type DataCentreId, type DomainId, type KeyHash, type RegionId, type Revision, toId } from '@lavenderturn/types'
import type { ControlDocument, DataCentreState, RouteEntry, ServiceEntry, TeamEntry } from './ControlDocument'

/** @public */
export interface Declaration {
  readonly dataCentres: ReadonlyArray<{
    readonly id: DataCentreId, readonly region: RegionId, readonly state: DataCentreState
  }>
  readonly services: readonly ServiceEntry[]
  readonly teams: ReadonlyArray<TeamEntry & { readonly keys: readonly KeyHash[] }>
  readonly routes: readonly RouteEntry[]
}

/** @public */
export interface DeclarationDelta {
  readonly changed: Partial<Declaration>
}

/**
 * @returns a declaration without entries
 * @public
 */
export function emptyDeclaration (): Declaration {
  return { dataCentres: [], services: [], teams: [], routes: [] }
}

/**
 * @param before - a declaration
 * @param after - the declaration that follows it
 * @returns the tables that differ
 * @public
 */
export function diffDeclarations (before: Declaration, after: Declaration): DeclarationDelta {
  const tables = Object.keys(after) as Array<keyof Declaration>
  const differing = tables.filter((table) => JSON.stringify(before[table]) !== JSON.stringify(after[table]))
  return { changed: Object.fromEntries(differing.map((table) => [table, after[table]])) }
}

/**
 * @param value - a declaration
 * @returns its encoding
 * @public
 */
export function encodeDeclaration (value: Declaration): Uint8Array {
  return Buffer.from(JSON.stringify(value))
}

/**
 * @param bytes - an encoded declaration
 * @returns the declaration
 * @public
 */
export function decodeDeclaration (bytes: Uint8Array): Declaration {
  return JSON.parse(Buffer.from(bytes).toString())
}

/**
 * @param delta - a delta
 * @returns its encoding
 * @public
 */
export function encodeDelta (delta: DeclarationDelta): Uint8Array {
  return Buffer.from(JSON.stringify(delta))
}

/**
 * @param bytes - an encoded delta
 * @returns the delta
 * @public
 */
export function decodeDelta (bytes: Uint8Array): DeclarationDelta {
  return JSON.parse(Buffer.from(bytes).toString())
}

/** @public */
export interface DocumentParts {
  readonly declaration: Declaration
  readonly revision: Revision
}

const declarations = new WeakMap<ControlDocument, Declaration>()

/**
 * @param parts - declaration and revision
 * @returns the document
 * @public
 */
export function createDocument ({ declaration, revision }: DocumentParts): ControlDocument {
  const regions = new Set(declaration.dataCentres.map(({ region }) => region))
  const inRegions = regions.size > 1
  const document: ControlDocument = {
    revision,
    domainKind: inRegions ? 'region' : 'dataCentre',
    domains: inRegions
      ? [...regions].map((id) => toId<DomainId>(id))
      : declaration.dataCentres.map(({ id }) => toId(id)),
    findTeamByKey: (key) => declaration.teams.find((team) => team.keys.includes(key))?.id,
    findTeam: (id) => declaration.teams.find((team) => team.id === id),
    findRoute: (_, path) => declaration.routes.find((route) => path.startsWith(route.pathPrefix)),
    findService: (id) => declaration.services.find((service) => service.id === id),
    dataCentreState: (id) => declaration.dataCentres.find((entry) => entry.id === id)?.state ?? 'in'
  }
  declarations.set(document, declaration)
  return document
}

/**
 * @param document - a document
 * @param change - delta and the revision that it leads to
 * @returns the changed document
 * @public
 */
export function applyDelta (
  document: ControlDocument, { delta, revision }: { readonly delta: DeclarationDelta, readonly revision: Revision }
): ControlDocument {
  return createDocument({ declaration: { ...documentToDeclaration(document), ...delta.changed }, revision })
}

/**
 * @param document - a document
 * @returns its declaration
 * @public
 */
export function documentToDeclaration (document: ControlDocument): Declaration {
  return declarations.get(document) ?? emptyDeclaration()
}
