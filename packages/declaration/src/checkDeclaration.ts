import { type Declaration, SECTION_NAMES } from './Declaration'
import type { DeclarationIssue } from './DeclarationProblem'
import { entryKey } from './entryKey'

/**
 * Checks what one entry cannot show: duplicates, references, identical routes, and that there is a data centre.
 *
 * @param declaration - a declaration whose entries are valid each for itself
 * @returns the faults; empty if there are none
 * @internal
 */
export function checkDeclaration (declaration: Declaration): DeclarationIssue[] {
  const issues = [...findDuplicates(declaration), ...findUnknown(declaration), ...findIdenticalRoutes(declaration)]
  if (declaration.dataCentres.length === 0) {
    issues.push({ path: ['dataCentres'], message: 'at least one data centre is needed' })
  }
  return issues
}

function * findDuplicates (declaration: Declaration): Generator<DeclarationIssue> {
  for (const section of SECTION_NAMES) {
    const field = section === 'keys' ? 'hash' : 'id'
    const seen = new Map<string, number>()
    for (const [at, entry] of declaration[section].entries()) {
      const key = entryKey(entry)
      const first = seen.get(key)
      if (first === undefined) seen.set(key, at)
      else yield { path: [section, at, field], message: `"${key}" is already used by ${section}[${first}]` }
    }
  }
}

function * findUnknown (declaration: Declaration): Generator<DeclarationIssue> {
  const teams = new Set<string>(declaration.teams.map(({ id }) => id))
  const services = new Set<string>(declaration.services.map(({ id }) => id))
  for (const [at, { team }] of declaration.keys.entries()) {
    if (!teams.has(team)) yield { path: ['keys', at, 'team'], message: `there is no team "${team}"` }
  }
  for (const [at, { service, access }] of declaration.routes.entries()) {
    if (!services.has(service)) yield { path: ['routes', at, 'service'], message: `there is no service "${service}"` }
    if (typeof access === 'string') continue
    for (const [index, team] of access.entries()) {
      if (!teams.has(team)) yield { path: ['routes', at, 'access', index], message: `there is no team "${team}"` }
      else if (access.indexOf(team) < index) {
        yield { path: ['routes', at, 'access', index], message: `the team "${team}" is listed twice` }
      }
    }
  }
}

function * findIdenticalRoutes ({ routes }: Declaration): Generator<DeclarationIssue> {
  const seen = new Map<string, string>()
  for (const [at, { id, method, pathPrefix }] of routes.entries()) {
    const match = `${method ?? 'any method'} ${pathPrefix}`
    const first = seen.get(match)
    if (first === undefined) seen.set(match, id)
    else yield { path: ['routes', at, 'pathPrefix'], message: `the route "${first}" already matches ${match}` }
  }
}
