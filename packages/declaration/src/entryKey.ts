import type { Declaration, SectionName } from './Declaration'

/** An entry of any section. @internal */
export type AnyEntry = Declaration[SectionName][number]

/**
 * Returns what identifies an entry within its section.
 *
 * @param entry - an entry of any section
 * @returns the hash of a key, or the id of any other entry
 * @internal
 */
export function entryKey (entry: AnyEntry): string {
  return 'hash' in entry ? entry.hash : entry.id
}
