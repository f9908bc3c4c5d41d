import { type Revision, toId } from '@lavenderturn/types'
import { checkDeclaration } from '../checkDeclaration'
import { CompiledDocument } from '../CompiledDocument'
import type { ControlDocument, TeamEntry } from '../ControlDocument'
import type { KeyEntry } from '../Declaration'
import { formatPath } from '../DeclarationProblem'
import { KeyTable } from '../tables/KeyTable'
import { RouteTable } from '../tables/RouteTable'
import { TeamTable } from '../tables/TeamTable'
import { toRouteEntry } from '../toRouteEntry'
import { addEntry, type Sections } from './addEntry'
import { EncodingError } from './EncodingError'
import { decodeLines } from './lines'

/**
 * Builds a control document directly from an encoded declaration. Teams and keys are added to the tables one by one,
 * so that the objects of 220,000 teams never exist at the same time: the memory of a process does not shrink again
 * after such a peak.
 *
 * @param bytes - output of `encodeDeclaration`
 * @param options - `revision`: revision of the declaration
 * @returns the control document
 * @throws EncodingError if the bytes are incomplete or the declaration is invalid
 * @public
 */
export function decodeDocument (bytes: Uint8Array, { revision }: { readonly revision: Revision }): ControlDocument {
  const teams = new TeamTable([])
  const keys = new KeyTable(0)
  const sections: Sections = { teams: [], keys: [], routes: [], services: [], dataCentres: [] }
  let count = 0
  for (const [section, entry] of decodeLines('declaration', bytes)) {
    addEntry(sections, section, entry)
    count += 1
    for (const team of sections.teams.splice(0)) addTeam(teams, team)
    for (const key of sections.keys.splice(0)) addKey(teams, keys, key)
  }
  if (count > 0) checkSections(sections, teams)
  return new CompiledDocument(revision, {
    teams,
    keys,
    routes: new RouteTable(sections.routes.map(toRouteEntry)),
    services: new Map(sections.services.map((service) => [service.id, service])),
    dataCentres: new Map(sections.dataCentres.map((dataCentre) => [dataCentre.id, dataCentre]))
  })
}

function addTeam (teams: TeamTable, team: TeamEntry): void {
  if (teams.findRow(team.id) !== undefined) throw new EncodingError(`duplicate team "${team.id}"`)
  teams.set(team)
}

/** Adds a key. The team already exists, because the encoding contains all teams before the first key. */
function addKey (teams: TeamTable, keys: KeyTable, { hash, team }: KeyEntry): void {
  const row = teams.findRow(team)
  if (row === undefined) throw new EncodingError(`a key belongs to the team "${team}", which does not exist`)
  if (keys.find(hash.slice('sha256:'.length)) !== undefined) throw new EncodingError('duplicate key hash')
  keys.set(hash, row)
  teams.adjustKeyCount(row, 1)
}

/**
 * Checks the constraints between entries. The teams and keys were already checked when they were added to the tables,
 * so of the teams only those are needed that routes refer to.
 */
function checkSections (sections: Sections, table: TeamTable): void {
  const referencedTeams = new Set(sections.routes.flatMap(({ access }) => typeof access === 'string' ? [] : access))
  const teams = [...referencedTeams].filter((id) => table.findRow(id) !== undefined)
    .map((id) => ({ id: toId<typeof id>(id), ratePerSecond: 1, burst: 1 }))
  const [issue] = checkDeclaration({ ...sections, teams })
  if (issue !== undefined) throw new EncodingError(`${formatPath(issue.path)}: ${issue.message}`)
}
