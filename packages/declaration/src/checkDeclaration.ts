import { type Declaration, SECTION_NAMES } from './Declaration'
import type { DeclarationIssue } from './DeclarationProblem'
import { entryKey } from './entryKey'

/**
 * Checks the constraints between entries: duplicates, references, identical routes, and that there is a data centre.
 *
 * @param declaration - a declaration whose individual entries are valid
 * @returns the errors; empty if there are none
 * @internal
 */
export function checkDeclaration (declaration: Declaration): DeclarationIssue[] {
  const issues = [
    ...findDuplicates(declaration), ...findUnknownReferences(declaration), ...findIdenticalRoutes(declaration)
  ]
  if (declaration.dataCentres.length === 0) {
    issues.push({ path: ['dataCentres'], message: 'at least one data centre is needed' })
  }
  return issues
}

function * findDuplicates (declaration: Declaration): Generator<DeclarationIssue> {
  for (const section of SECTION_NAMES) {
    const field = section === 'keys' ? 'hash' : 'id'
    const seen = new Map<string, number>()
    for (const [index, entry] of declaration[section].entries()) {
      const key = entryKey(entry)
      const first = seen.get(key)
      if (first === undefined) seen.set(key, index)
      else yield { path: [section, index, field], message: `"${key}" is already used by ${section}[${first}]` }
    }
  }
}

function * findUnknownReferences (declaration: Declaration): Generator<DeclarationIssue> {
  const teams = new Set<string>(declaration.teams.map(({ id }) => id))
  const services = new Set<string>(declaration.services.map(({ id }) => id))
  for (const [index, { team }] of declaration.keys.entries()) {
    if (!teams.has(team)) yield { path: ['keys', index, 'team'], message: `unknown team "${team}"` }
  }
  for (const [index, { service, access }] of declaration.routes.entries()) {
    if (!services.has(service)) yield { path: ['routes', index, 'service'], message: `unknown service "${service}"` }
    if (typeof access === 'string') continue
    for (const [teamIndex, team] of access.entries()) {
      if (!teams.has(team)) yield { path: ['routes', index, 'access', teamIndex], message: `unknown team "${team}"` }
      else if (access.indexOf(team) < teamIndex) {
        yield { path: ['routes', index, 'access', teamIndex], message: `the team "${team}" is listed twice` }
      }
    }
  }
}

function * findIdenticalRoutes ({ routes }: Declaration): Generator<DeclarationIssue> {
  const seen = new Map<string, string>()
  for (const [index, { id, method, pathPrefix }] of routes.entries()) {
    const match = `${method ?? 'any method'} ${pathPrefix}`
    const first = seen.get(match)
    if (first === undefined) seen.set(match, id)
    else yield { path: ['routes', index, 'pathPrefix'], message: `the route "${first}" already matches ${match}` }
  }
}
