import type { ServiceId, TeamId } from '@lavenderturn/types'
import { type DocumentTables, requireCompiled } from './CompiledDocument'
import type { ControlDocument } from './ControlDocument'
import type { DeclarationDelta } from './DeclarationDelta'
import { toRouteDeclaration } from './toRouteEntry'

/**
 * Checks that a document is still consistent after a delta, at the cost of the delta: all routes are read only when
 * the delta removes teams or services.
 *
 * @param document - a document from `createDocument` or `applyDelta`
 * @param delta - a delta whose entries are valid each for itself
 * @returns plain sentences; empty if the delta can be applied
 * @public
 */
export function checkDelta (document: ControlDocument, delta: DeclarationDelta): string[] {
  const { tables } = requireCompiled(document)
  return [...checkTeams(tables, delta), ...checkRoutes(tables, delta), ...checkDataCentres(tables, delta)]
}

function * checkTeams (tables: DocumentTables, { changed, removed }: DeclarationDelta): Generator<string> {
  const isTeam = createTeamTest(tables, { changed, removed })
  for (const { hash, team } of changed.keys) {
    if (!isTeam(team)) yield `the key ${hash} belongs to the team "${team}", which does not exist`
  }
  const taken = countTakenKeys(tables, { changed, removed })
  for (const team of removed.teams) {
    const row = tables.teams.findRow(team)
    if (row !== undefined && tables.teams.countKeys(row) !== (taken.get(row) ?? 0)) {
      yield `the team "${team}" still has keys`
    }
  }
}

/** Counts, by row of the team, the keys that a delta withdraws or gives to another team. */
function countTakenKeys (tables: DocumentTables, { changed, removed }: DeclarationDelta): Map<number, number> {
  const taken = new Map<number, number>()
  if (removed.teams.length === 0) return taken
  for (const hash of new Set([...removed.keys, ...changed.keys.map((key) => key.hash)])) {
    const row = tables.keys.find(hash.slice('sha256:'.length))
    if (row !== undefined) taken.set(row, (taken.get(row) ?? 0) + 1)
  }
  return taken
}

function createTeamTest (tables: DocumentTables, { changed, removed }: DeclarationDelta): (team: TeamId) => boolean {
  const added = new Set(changed.teams.map(({ id }) => id))
  const gone = new Set(removed.teams)
  return (team) => added.has(team) || (!gone.has(team) && tables.teams.findRow(team) !== undefined)
}

function * checkRoutes (tables: DocumentTables, delta: DeclarationDelta): Generator<string> {
  const { changed, removed } = delta
  const isTeam = createTeamTest(tables, delta)
  const replaced = new Set([...removed.routes, ...changed.routes.map(({ id }) => id)])
  const losesReferences = removed.teams.length + removed.services.length > 0
  const kept = losesReferences ? [...tables.routes.values()].filter(({ id }) => !replaced.has(id)) : []
  const isService = createServiceTest(tables, delta)
  for (const { id, service, access } of [...kept.map(toRouteDeclaration), ...changed.routes]) {
    if (!isService(service)) yield `the route "${id}" belongs to the service "${service}", which does not exist`
    const unknown = typeof access === 'string' ? undefined : access.find((team) => !isTeam(team))
    if (unknown !== undefined) yield `the route "${id}" lists the team "${unknown}", which does not exist`
  }
  const matches = new Set<string>()
  for (const { id, method, pathPrefix } of changed.routes) {
    const match = `${method ?? ''} ${pathPrefix}`
    const identical = tables.routes.findIdentical({ method, pathPrefix })
    if (matches.has(match) || (identical !== undefined && !replaced.has(identical.id))) {
      yield `the route "${id}" matches the same requests as another route`
    }
    matches.add(match)
  }
}

function createServiceTest (tables: DocumentTables, delta: DeclarationDelta): (service: ServiceId) => boolean {
  const added = new Set(delta.changed.services.map(({ id }) => id))
  const gone = new Set(delta.removed.services)
  return (service) => added.has(service) || (!gone.has(service) && tables.services.has(service))
}

function * checkDataCentres (tables: DocumentTables, { changed, removed }: DeclarationDelta): Generator<string> {
  const left = new Set([...tables.dataCentres.keys(), ...changed.dataCentres.map(({ id }) => id)])
  for (const dataCentre of removed.dataCentres) left.delete(dataCentre)
  if (left.size === 0 && removed.dataCentres.length > 0) yield 'at least one data centre is needed'
}
