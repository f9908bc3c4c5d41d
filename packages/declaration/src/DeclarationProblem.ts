/** A fault in a declaration, with its place. @public */
export interface DeclarationProblem {
  /** Name of the file, as it was given. */
  readonly file: string
  /** Counts from 1. */
  readonly line: number
  /** Counts from 1. */
  readonly column: number
  /** For example `routes[2].pathPrefix`; empty for the file as a whole. */
  readonly path: string
  /** A sentence without a full stop. */
  readonly message: string
}

/** A fault before its place in a file is known. @internal */
export interface DeclarationIssue {
  readonly path: ReadonlyArray<string | number>
  readonly message: string
  /** Whether the fault is the field's name and not its value. */
  readonly atKey?: boolean
}

/**
 * @param problem - a fault
 * @returns one line with the place first, as compilers print it
 * @public
 */
export function formatProblem ({ file, line, column, path, message }: DeclarationProblem): string {
  return `${file}:${line}:${column}: ${path === '' ? '' : `${path}: `}${message}`
}

/**
 * @param path - field names and list indexes
 * @returns for example `routes[2].pathPrefix`
 * @internal
 */
export function formatPath (path: ReadonlyArray<string | number>): string {
  return path.map((part, at) => typeof part === 'number' ? `[${part}]` : `${at === 0 ? '' : '.'}${part}`).join('')
}
