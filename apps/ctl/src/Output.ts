import type { ExitCode } from './exitCodes'

/** What a command prints and how it ends. @public */
export interface Output {
  /** For people, one entry a line. */
  readonly lines: readonly string[]
  /** The same for programs (`--json`). */
  readonly value: unknown
  readonly exitCode: ExitCode
}

/**
 * @param output - result of a command
 * @param options - `json`: whether programs read it
 * @returns the text to print
 * @internal
 */
export function formatOutput ({ lines, value }: Output, { json }: { readonly json: boolean }): string {
  return json ? `${JSON.stringify(value, null, 2)}\n` : lines.map((line) => `${line}\n`).join('')
}
