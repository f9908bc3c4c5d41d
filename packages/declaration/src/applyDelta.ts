import type { Revision } from '@lavenderturn/types'
import { checkDelta } from './checkDelta'
import { CompiledDocument, type DocumentTables, requireCompiled } from './CompiledDocument'
import type { ControlDocument } from './ControlDocument'
import type { DeclaredKeyHash, KeyEntry } from './Declaration'
import type { DeclarationDelta } from './DeclarationDelta'
import { toRouteEntry } from './toRouteEntry'

/** Thrown if a delta cannot be applied to a document. The document is unchanged. @public */
export class DeltaError extends Error {
  override readonly name = 'DeltaError'

  /** @param reasons - error messages */
  constructor (readonly reasons: readonly string[]) {
    super(`the delta cannot be applied to the document: ${reasons.join('; ')}`)
  }
}

/** @public */
export interface ApplyDeltaOptions {
  readonly delta: DeclarationDelta
  /** Must be greater than the revision of the document. */
  readonly revision: Revision
}

/**
 * Applies a delta to the tables of a document in place, because copying 220,000 teams for each of 14,000 changes per
 * day would be too slow. The result shares the tables with the given document, which must not be used any more: it
 * keeps its revision, but returns the new entries. The delta is applied synchronously, so no other code can observe a
 * partially applied delta.
 *
 * @param document - a document from `createDocument`, `decodeDocument` or `applyDelta`
 * @param options - the delta and the resulting revision
 * @returns the document of the new revision
 * @throws DeltaError if the delta cannot be applied; nothing was changed
 * @public
 */
export function applyDelta (document: ControlDocument, { delta, revision }: ApplyDeltaOptions): ControlDocument {
  const { tables, revision: current } = requireCompiled(document)
  if (revision <= current) throw new DeltaError([`revision ${revision} is not greater than ${current}`])
  const reasons = checkDelta(document, delta)
  if (reasons.length > 0) throw new DeltaError(reasons)
  const { changed, removed } = delta
  applyKeysAndTeams(tables, delta)
  for (const id of removed.routes) tables.routes.delete(id)
  for (const route of changed.routes) tables.routes.set(toRouteEntry(route))
  for (const id of removed.services) tables.services.delete(id)
  for (const service of changed.services) tables.services.set(service.id, service)
  for (const id of removed.dataCentres) tables.dataCentres.delete(id)
  for (const dataCentre of changed.dataCentres) tables.dataCentres.set(dataCentre.id, dataCentre)
  return new CompiledDocument(revision, tables)
}

/** Removes teams last, when no key refers to their rows any more. */
function applyKeysAndTeams (tables: DocumentTables, { changed, removed }: DeclarationDelta): void {
  for (const hash of removed.keys) removeKey(tables, hash)
  for (const team of changed.teams) tables.teams.set(team)
  for (const key of changed.keys) setKey(tables, key)
  for (const id of removed.teams) tables.teams.delete(id)
}

function removeKey ({ keys, teams }: DocumentTables, hash: DeclaredKeyHash): void {
  const row = keys.find(hash.slice('sha256:'.length))
  if (row === undefined) return
  keys.delete(hash)
  teams.adjustKeyCount(row, -1)
}

function setKey (tables: DocumentTables, { hash, team }: KeyEntry): void {
  removeKey(tables, hash)
  const row = tables.teams.findRow(team)!
  tables.keys.set(hash, row)
  tables.teams.adjustKeyCount(row, 1)
}
