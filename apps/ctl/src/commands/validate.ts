import { type Declaration, SECTION_NAMES } from '@lavenderturn/declaration'
import { exitCodes } from '../exitCodes'
import type { Output } from '../Output'
import { readDeclarationFiles } from '../readDeclarationFiles'
import { formatCount, describeProblems } from './describeProblems'

/**
 * Validates a declaration offline.
 *
 * @param files - files and folders
 * @returns the number of entries per section, or the problems
 * @internal
 */
export async function validate (files: readonly string[]): Promise<Output> {
  const result = await readDeclarationFiles(files)
  if (!result.ok) return describeProblems(result.problems)
  const counts = Object.fromEntries(SECTION_NAMES.map((section) => [section, result.declaration[section].length]))
  return {
    lines: [`the declaration is valid: ${describeCounts(result.declaration)}`],
    value: { valid: true, counts },
    exitCode: exitCodes.done
  }
}

function describeCounts ({ dataCentres, services, routes, teams, keys }: Declaration): string {
  return [
    formatCount(dataCentres.length, 'data centre'), formatCount(services.length, 'service'), formatCount(routes.length, 'route'),
    formatCount(teams.length, 'team'), formatCount(keys.length, 'key')
  ].join(', ')
}
