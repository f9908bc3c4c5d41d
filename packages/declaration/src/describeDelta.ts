import { SECTION_NAMES, type SectionName } from './Declaration'
import type { DeclarationDelta } from './DeclarationDelta'
import { entryKey } from './entryKey'

const NOUNS: Readonly<Record<SectionName, string>> = {
  dataCentres: 'data centre', services: 'service', routes: 'route', teams: 'team', keys: 'key'
}

/**
 * @param delta - a delta
 * @returns one line for each entry: `set` with the fields of a new or changed entry, or `remove`
 * @public
 */
export function describeDelta ({ changed, removed }: DeclarationDelta): string[] {
  return SECTION_NAMES.flatMap((section) => [
    ...removed[section].map((key) => `remove ${NOUNS[section]} ${key}`),
    ...changed[section].map((entry) => `set ${NOUNS[section]} ${entryKey(entry)}: ${describeFields(entry)}`)
  ])
}

function describeFields (entry: object): string {
  return Object.entries(entry)
    .filter(([field, value]) => field !== 'id' && field !== 'hash' && value !== undefined)
    .map(([field, value]) => `${field} ${Array.isArray(value) ? `[${value.join(', ')}]` : value}`)
    .join(', ')
}
