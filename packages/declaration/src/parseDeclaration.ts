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
 * Parses the files of one declaration. Each section stands in one file only. Either the whole declaration is valid or
 * nothing of it is returned.
 *
 * @param files - names and texts
 * @returns the declaration, sorted, or all problems that were found
 * @public
 */
export function parseDeclaration (files: readonly DeclarationFile[]): ParseResult {
  const sources = files.map((file) => new DeclarationSource(file))
  const syntax = sources.flatMap((source) => source.findSyntaxProblems())
  if (syntax.length > 0) return { ok: false, problems: syntax }
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
  /** The file that holds each section. */
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
        const message = `the section already stands in ${owner.name}`
        problems.push(source.place({ path: [section], message, atKey: true }))
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
    return source?.place(issue) ?? { file: '', line: 1, column: 1, path: '', message: 'no file was given' }
  })
  return { ok: false, problems }
}

function toIssues (issue: z.core.$ZodIssue): DeclarationIssue[] {
  const path = issue.path as Array<string | number>
  if (issue.code === 'unrecognized_keys') {
    const what = path.length === 0 ? `there is no such section; the sections are ${SECTION_NAMES.join(', ')}` : 'there is no such field'
    return issue.keys.map((key) => ({ path: [...path, key], message: what, atKey: true }))
  }
  if (issue.code === 'invalid_type' && issue.input === undefined) {
    return [{ path, message: `the ${path.length === 1 ? 'section' : 'field'} is missing` }]
  }
  if (issue.code === 'invalid_type') return [{ path, message: `must be ${describeType(issue.expected)}` }]
  return [{ path, message: issue.message }]
}

function describeType (expected: string): string {
  if (expected === 'array') return 'a list'
  if (expected === 'object') return 'a group of fields'
  if (expected === 'int') return 'a whole number'
  return expected === 'boolean' ? 'true or false' : `a ${expected}`
}
