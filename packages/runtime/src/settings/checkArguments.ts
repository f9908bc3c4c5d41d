import { SettingError } from './SettingError'
import type { SettingsTable } from './SettingEntry'

/** Flags that every program accepts. */
const COMMON_FLAGS = new Set(['--help', '-h', '--version', '-v'])

/**
 * Checks that each argument is a known setting with a value. The command-line library would ignore a flag without a
 * value, and reports errors over several lines.
 *
 * @param table - settings of the program
 * @param argv - arguments of the program
 * @throws SettingError for the first invalid argument
 * @internal
 */
export function checkArguments (table: SettingsTable, argv: readonly string[]): void {
  const entries = new Map(Object.values(table).map((entry) => [`--${entry.flag}`, entry]))
  const seen = new Set<string>()
  for (let index = 0; index < argv.length; index++) {
    const argument = argv[index]!
    if (COMMON_FLAGS.has(argument)) continue
    const name = argument.split('=', 1)[0]!
    const entry = entries.get(name)
    if (entry === undefined) throw new SettingError(name, 'there is no such setting')
    if (seen.has(name)) throw new SettingError(name, 'it is given twice')
    seen.add(name)
    if (entry.isSwitch === true || argument.includes('=')) continue
    const value = argv[++index]
    if (value === undefined || value.startsWith('--')) throw new SettingError(name, 'it needs a value')
  }
}
