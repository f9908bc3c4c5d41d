import { SECTION_NAMES, type SectionName } from './Declaration'
import type { DeclarationDelta } from './DeclarationDelta'
import { entryKey } from './entryKey'

const ENTRY_LABELS: Readonly<Record<SectionName, string>> = {
  dataCentres: 'data centre', services: 'service', routes: 'route', teams: 'team', keys: 'key'
}

/**
 * Describes a delta for operators.
 *
 * @param delta - a delta
 * @returns one line per entry: `set` with the fields of a new or modified entry, or `remove`
 * @public
 */
export function describeDelta ({ changed, removed }: DeclarationDelta): string[] {
  return SECTION_NAMES.flatMap((section) => [
    ...removed[section].map((key) => `remove ${ENTRY_LABELS[section]} ${key}`),
    ...changed[section].map((entry) => `set ${ENTRY_LABELS[section]} ${entryKey(entry)}: ${describeFields(entry)}`)
  ])
}

function describeFields (entry: object): string {
  return Object.entries(entry)
    .filter(([field, value]) => field !== 'id' && field !== 'hash' && value !== undefined)
    .map(([field, value]) => `${field} ${Array.isArray(value) ? `[${value.join(', ')}]` : value}`)
    .join(', ')
}
