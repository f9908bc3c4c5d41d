import type { ServiceId, TeamId } from '@lavenderturn/types'
import { type DocumentTables, requireCompiled } from './CompiledDocument'
import type { ControlDocument } from './ControlDocument'
import type { DeclarationDelta } from './DeclarationDelta'
import { toRouteDeclaration } from './toRouteEntry'

/**
 * Checks that a document remains consistent if a delta is applied. The cost depends on the size of the delta: all
 * routes are read only if the delta removes teams or services.
 *
 * @param document - a document from `createDocument`, `decodeDocument` or `applyDelta`
 * @param delta - a delta whose individual entries are valid
 * @returns error messages; empty if the delta can be applied
 * @public
 */
export function checkDelta (document: ControlDocument, delta: DeclarationDelta): string[] {
  const { tables } = requireCompiled(document)
  return [...checkTeams(tables, delta), ...checkRoutes(tables, delta), ...checkDataCentres(tables, delta)]
}

function * checkTeams (tables: DocumentTables, { changed, removed }: DeclarationDelta): Generator<string> {
  const isTeam = createTeamPredicate(tables, { changed, removed })
  for (const { hash, team } of changed.keys) {
    if (!isTeam(team)) yield `the key ${hash} belongs to the team "${team}", which does not exist`
  }
  const removedKeyCounts = countRemovedKeys(tables, { changed, removed })
  for (const team of removed.teams) {
    const row = tables.teams.findRow(team)
    if (row !== undefined && tables.teams.countKeys(row) !== (removedKeyCounts.get(row) ?? 0)) {
      yield `the team "${team}" still has keys`
    }
  }
}

/** Counts, by row of the team, the keys that a delta removes from the team or assigns to another one. */
function countRemovedKeys (tables: DocumentTables, { changed, removed }: DeclarationDelta): Map<number, number> {
  const counts = new Map<number, number>()
  if (removed.teams.length === 0) return counts
  for (const hash of new Set([...removed.keys, ...changed.keys.map((key) => key.hash)])) {
    const row = tables.keys.find(hash.slice('sha256:'.length))
    if (row !== undefined) counts.set(row, (counts.get(row) ?? 0) + 1)
  }
  return counts
}

function createTeamPredicate (
  tables: DocumentTables, { changed, removed }: DeclarationDelta
): (team: TeamId) => boolean {
  const added = new Set(changed.teams.map(({ id }) => id))
  const removedIds = new Set(removed.teams)
  return (team) => added.has(team) || (!removedIds.has(team) && tables.teams.findRow(team) !== undefined)
}

function * checkRoutes (tables: DocumentTables, delta: DeclarationDelta): Generator<string> {
  const { changed, removed } = delta
  const isTeam = createTeamPredicate(tables, delta)
  const replacedIds = new Set([...removed.routes, ...changed.routes.map(({ id }) => id)])
  const removesReferenced = removed.teams.length + removed.services.length > 0
  const unchanged = removesReferenced ? [...tables.routes.values()].filter(({ id }) => !replacedIds.has(id)) : []
  const isService = createServicePredicate(tables, delta)
  for (const { id, service, access } of [...unchanged.map(toRouteDeclaration), ...changed.routes]) {
    if (!isService(service)) yield `the route "${id}" belongs to the service "${service}", which does not exist`
    const unknown = typeof access === 'string' ? undefined : access.find((team) => !isTeam(team))
    if (unknown !== undefined) yield `the route "${id}" lists the team "${unknown}", which does not exist`
  }
  const matches = new Set<string>()
  for (const { id, method, pathPrefix } of changed.routes) {
    const match = `${method ?? ''} ${pathPrefix}`
    const identical = tables.routes.findIdentical({ method, pathPrefix })
    if (matches.has(match) || (identical !== undefined && !replacedIds.has(identical.id))) {
      yield `the route "${id}" matches the same requests as another route`
    }
    matches.add(match)
  }
}

function createServicePredicate (tables: DocumentTables, delta: DeclarationDelta): (service: ServiceId) => boolean {
  const added = new Set(delta.changed.services.map(({ id }) => id))
  const removedIds = new Set(delta.removed.services)
  return (service) => added.has(service) || (!removedIds.has(service) && tables.services.has(service))
}

function * checkDataCentres (tables: DocumentTables, { changed, removed }: DeclarationDelta): Generator<string> {
  const remaining = new Set([...tables.dataCentres.keys(), ...changed.dataCentres.map(({ id }) => id)])
  for (const dataCentre of removed.dataCentres) remaining.delete(dataCentre)
  if (remaining.size === 0 && removed.dataCentres.length > 0) yield 'at least one data centre is needed'
}
