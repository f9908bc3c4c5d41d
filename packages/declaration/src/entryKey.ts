import type { Declaration, SectionName } from './Declaration'

/** One entry of any section. @internal */
export type AnyEntry = Declaration[SectionName][number]

/**
 * @param entry - an entry of any section
 * @returns what identifies the entry within its section: its id, or the hash of a key
 * @internal
 */
export function entryKey (entry: AnyEntry): string {
  return 'hash' in entry ? entry.hash : entry.id
}
