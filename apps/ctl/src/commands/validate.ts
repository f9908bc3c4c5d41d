import { type Declaration, SECTION_NAMES } from '@lavenderturn/declaration'
import { exitCodes } from '../exitCodes'
import type { Output } from '../Output'
import { readDeclarationFiles } from '../readDeclarationFiles'
import { countOf, describeProblems } from './describeProblems'

/**
 * Checks a declaration without a node.
 *
 * @param files - files and folders
 * @returns the counts of entries, or the problems
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
    countOf(dataCentres.length, 'data centre'), countOf(services.length, 'service'), countOf(routes.length, 'route'),
    countOf(teams.length, 'team'), countOf(keys.length, 'key')
  ].join(', ')
}
