import { command, flag, option, optional, runSafely, string } from 'cmd-ts'
import { checkArguments } from './checkArguments'
import { SettingError } from './SettingError'
import type { SettingEntry, SettingsTable, SettingValues } from './SettingEntry'

/**
 * Variables with the common prefix that belong to other programs, which may share the environment: the tools and the
 * test runs.
 */
const OTHER_PROGRAM_VARIABLE = /^LAVENDERTURN_(CTL|DEMO|LOAD|RUNS|TIMELINE)(_|$)/

const VARIABLE_PREFIX = 'LAVENDERTURN_'

/** @public */
export interface SettingsSource<Table extends SettingsTable> {
  readonly program: string
  readonly description: string
  readonly version: string
  readonly table: Table
  readonly argv: readonly string[]
  readonly env: Readonly<Record<string, string | undefined>>
}

/** Settings, or the text to print for `--help` or `--version`. @public */
export type ParsedSettings<Table extends SettingsTable> =
  | { readonly kind: 'values', readonly values: SettingValues<Table> }
  | { readonly kind: 'text', readonly text: string }

/**
 * Parses the settings of a program. A flag takes precedence over its environment variable.
 *
 * @param source - the program's table, arguments and environment
 * @returns validated values, or a text to print
 * @throws SettingError for the first setting that is unknown, missing or malformed
 * @public
 */
export async function parseSettings<Table extends SettingsTable> (
  source: SettingsSource<Table>
): Promise<ParsedSettings<Table>> {
  const { table, argv, env } = source
  checkArguments(table, argv)
  checkEnvironment(table, env)
  const parsed = await runSafely(createCommand(source), [...argv])
  if (parsed._tag === 'error') {
    const { exitCode, message } = parsed.error.config
    if (exitCode === 0) return { kind: 'text', text: markRequired(table, message) }
    throw new SettingError(argv.join(' '), message.replaceAll(/\s+/g, ' '))
  }
  const flagValues = parsed.value as Readonly<Record<string, string | boolean | undefined>>
  const values = Object.entries(table).map(([name, entry]) => {
    return [name, checkValue(entry, flagValues[name] === true ? 'true' : flagValues[name] || env[entry.env])]
  })
  return { kind: 'values', values: Object.fromEntries(values) as SettingValues<Table> }
}

function createCommand<Table extends SettingsTable> ({ program, description, version, table }: SettingsSource<Table>) {
  const args = Object.entries(table).map(([name, entry]) => {
    const text = `${entry.description} [${entry.env}]${entry.default === undefined ? '' : ` [default: ${entry.default}]`}`
    return [name, entry.isSwitch === true
      ? flag({ long: entry.flag, description: text })
      : option({ long: entry.flag, type: optional(string), description: text })]
  })
  return command({
    name: program, description, version, args: Object.fromEntries(args), handler: (values: unknown) => values
  })
}

/** Marks required settings in the help text; to the library all are optional, because the environment can set them. */
function markRequired (table: SettingsTable, help: string): string {
  const required = Object.values(table).filter((entry) => entry.default === undefined && entry.optional !== true)
  return help.split('\n').map((line) => {
    const isRequired = required.some(({ flag: name }) => line.trimStart().startsWith(`--${name} `))
    return isRequired ? line.replace(/\[optional\]$/, '[required]') : line
  }).join('\n')
}

function checkEnvironment (table: SettingsTable, env: SettingsSource<SettingsTable>['env']): void {
  const known = new Set(Object.values(table).map((entry) => entry.env))
  for (const name of Object.keys(env)) {
    if (!name.startsWith(VARIABLE_PREFIX) || known.has(name) || OTHER_PROGRAM_VARIABLE.test(name)) continue
    throw new SettingError(name, 'there is no such setting')
  }
}

function checkValue (entry: SettingEntry, givenText: string | undefined): unknown {
  const text = givenText ?? entry.default
  const setting = `--${entry.flag} (${entry.env})`
  if (text === undefined) {
    if (entry.optional === true) return undefined
    throw new SettingError(setting, 'it is required')
  }
  const result = entry.schema.safeParse(text)
  if (result.success) return result.data
  throw new SettingError(setting, `${result.error.issues[0]!.message}, got "${text}"`)
}
