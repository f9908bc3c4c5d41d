import type { SettingsTable } from './SettingEntry'

/**
 * Renders a settings table as Markdown for `docs/configuration.md`.
 *
 * @param table - settings of a program
 * @returns a Markdown table
 * @public
 */
export function renderSettings (table: SettingsTable): string {
  const rows = Object.values(table).map((entry) => {
    const defaultText = entry.default === undefined
      ? entry.optional === true ? 'none' : 'required'
      : entry.default === '' ? 'empty' : `\`${entry.default}\``
    return `| \`--${entry.flag}\` | \`${entry.env}\` | ${defaultText} | ${entry.description} |`
  })
  return ['| flag | environment variable | default | meaning |', '|---|---|---|---|', ...rows].join('\n')
}
