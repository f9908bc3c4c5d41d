import type { z } from 'zod'
import { checkDeclaration } from './checkDeclaration'
import { type Declaration, SECTION_NAMES } from './Declaration'
import type { DeclarationIssue, DeclarationProblem } from './DeclarationProblem'
import { declarationSchema } from './declarationSchema'
import { type DeclarationFile, DeclarationSource } from './DeclarationSource'
import { sortDeclaration } from './sortDeclaration'

/** @public */
export type ParseResult =
  | { readonly ok: true, readonly declaration: Declaration }
  | { readonly ok: false, readonly problems: readonly DeclarationProblem[] }

/**
 * Parses a declaration that consists of one or more files. Each section must be defined in one file only. A declaration
 * with errors is rejected as a whole.
 *
 * @param files - names and contents of the files
 * @returns the declaration, sorted, or the errors that were found
 * @public
 */
export function parseDeclaration (files: readonly DeclarationFile[]): ParseResult {
  const sources = files.map((file) => new DeclarationSource(file))
  const syntaxProblems = sources.flatMap((source) => source.findSyntaxProblems())
  if (syntaxProblems.length > 0) return { ok: false, problems: syntaxProblems }
  const { value, owners, problems } = mergeSections(sources)
  if (problems.length > 0) return { ok: false, problems }
  const parsed = declarationSchema.safeParse(value)
  if (!parsed.success) return reject(parsed.error.issues.flatMap(toIssues), { sources, owners })
  const declaration = parsed.data as unknown as Declaration
  const issues = checkDeclaration(declaration)
  if (issues.length > 0) return reject(issues, { sources, owners })
  return { ok: true, declaration: sortDeclaration(declaration) }
}

interface MergedSections {
  readonly value: Record<string, unknown>
  /** The file that defines each section. */
  readonly owners: Map<string, DeclarationSource>
  readonly problems: DeclarationProblem[]
}

function mergeSections (sources: readonly DeclarationSource[]): MergedSections {
  const owners = new Map<string, DeclarationSource>()
  const problems: DeclarationProblem[] = []
  const values = new Map<string, unknown>()
  for (const source of sources) {
    for (const [section, entries] of Object.entries(source.toValue())) {
      const owner = owners.get(section)
      if (owner !== undefined) {
        const message = `the section is already defined in ${owner.name}`
        problems.push(source.locateIssue({ path: [section], message, atKey: true }))
        continue
      }
      owners.set(section, source)
      values.set(section, entries)
    }
  }
  return { value: Object.fromEntries(values), owners, problems }
}

function reject (
  issues: readonly DeclarationIssue[],
  { sources, owners }: { readonly sources: readonly DeclarationSource[], readonly owners: MergedSections['owners'] }
): ParseResult {
  const problems = issues.map((issue): DeclarationProblem => {
    const source = owners.get(String(issue.path[0])) ?? sources[0]
    return source?.locateIssue(issue) ?? { file: '', line: 1, column: 1, path: '', message: 'no file was given' }
  })
  return { ok: false, problems }
}

function toIssues (issue: z.core.$ZodIssue): DeclarationIssue[] {
  const path = issue.path as Array<string | number>
  if (issue.code === 'unrecognized_keys') {
    const message = path.length === 0 ? `unknown section; the sections are ${SECTION_NAMES.join(', ')}` : 'unknown field'
    return issue.keys.map((key) => ({ path: [...path, key], message, atKey: true }))
  }
  if (issue.code === 'invalid_type' && issue.input === undefined) {
    return [{ path, message: `the ${path.length === 1 ? 'section' : 'field'} is missing` }]
  }
  if (issue.code === 'invalid_type') return [{ path, message: `must be ${describeType(issue.expected)}` }]
  return [{ path, message: issue.message }]
}

function describeType (expected: string): string {
  if (expected === 'array') return 'a list'
  if (expected === 'object') return 'an object'
  if (expected === 'int') return 'a whole number'
  return expected === 'boolean' ? 'true or false' : `a ${expected}`
}
