import { parseSettings, type SettingsSource } from './parseSettings'
import { BAD_SETTING_EXIT_CODE, SettingError } from './SettingError'
import type { SettingsTable, SettingValues } from './SettingEntry'

/** Version that `--version` prints; same as in the root `package.json`. */
export const PROGRAM_VERSION = '0.1.0'

/** @public */
export type ProgramOptions<Table extends SettingsTable> = Pick<
  SettingsSource<Table>, 'description' | 'program' | 'table'
>

/**
 * Parses the settings of a program from its arguments and environment, and runs it. An invalid setting ends the process
 * with code 2 and one line on standard error.
 *
 * @param options - name, description and settings
 * @param main - entry point of the program
 * @public
 */
export async function runProgram<Table extends SettingsTable> (
  options: ProgramOptions<Table>,
  main: (settings: SettingValues<Table>) => Promise<void>
): Promise<void> {
  try {
    const parsed = await parseSettings({
      ...options, version: PROGRAM_VERSION, argv: process.argv.slice(2), env: process.env
    })
    if (parsed.kind === 'text') process.stdout.write(`${parsed.text}\n`)
    else await main(parsed.values)
  } catch (err) {
    if (!(err instanceof SettingError)) throw err
    process.stderr.write(`${options.program}: ${err.message}\n`)
    process.exitCode = BAD_SETTING_EXIT_CODE
  }
}
