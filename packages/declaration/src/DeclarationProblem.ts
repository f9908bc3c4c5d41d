/** An error in a declaration, with its location. @public */
export interface DeclarationProblem {
  /** Name of the file, as passed to `parseDeclaration`. */
  readonly file: string
  /** One-based. */
  readonly line: number
  /** One-based. */
  readonly column: number
  /** Path of the field, such as `routes[2].pathPrefix`; empty for the file as a whole. */
  readonly path: string
  /** Error message without a full stop. */
  readonly message: string
}

/** An error in a declaration whose location in a file is not yet known. @internal */
export interface DeclarationIssue {
  readonly path: ReadonlyArray<string | number>
  readonly message: string
  /** Whether the error concerns the field's name and not its value. */
  readonly atKey?: boolean
}

/**
 * Formats an error in the style of compilers, with the location first.
 *
 * @param problem - the error
 * @returns a single line
 * @public
 */
export function formatProblem ({ file, line, column, path, message }: DeclarationProblem): string {
  return `${file}:${line}:${column}: ${path === '' ? '' : `${path}: `}${message}`
}

/**
 * Formats the path of a field.
 *
 * @param path - field names and list indexes
 * @returns a path such as `routes[2].pathPrefix`
 * @internal
 */
export function formatPath (path: ReadonlyArray<string | number>): string {
  return path.map((part, index) => typeof part === 'number' ? `[${part}]` : `${index === 0 ? '' : '.'}${part}`).join('')
}
