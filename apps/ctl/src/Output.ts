import type { ExitCode } from './exitCodes'

/** Output and exit code of a command. @public */
export interface Output {
  /** Human-readable output, one entry per line. */
  readonly lines: readonly string[]
  /** Machine-readable output, printed with `--json`. */
  readonly value: unknown
  readonly exitCode: ExitCode
}

/**
 * @param output - result of a command
 * @param options - `json`: print the machine-readable output
 * @returns the text to print
 * @internal
 */
export function formatOutput ({ lines, value }: Output, { json }: { readonly json: boolean }): string {
  return json ? `${JSON.stringify(value, null, 2)}\n` : lines.map((line) => `${line}\n`).join('')
}
