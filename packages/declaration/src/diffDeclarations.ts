import { type Declaration, SECTION_NAMES, type SectionName } from './Declaration'
import type { DeclarationDelta } from './DeclarationDelta'
import { type AnyEntry, entryKey } from './entryKey'
import { sortDeclaration } from './sortDeclaration'

/**
 * Compares two declarations.
 *
 * @param before - the old declaration
 * @param after - the new declaration
 * @returns new and modified entries, and the ids of removed entries
 * @public
 */
export function diffDeclarations (before: Declaration, after: Declaration): DeclarationDelta {
  const changed: Partial<Record<SectionName, AnyEntry[]>> = {}
  const removed: Partial<Record<SectionName, string[]>> = {}
  const [sortedBefore, sortedAfter] = [sortDeclaration(before), sortDeclaration(after)]
  for (const section of SECTION_NAMES) {
    const oldEntries = new Map<string, AnyEntry>(sortedBefore[section].map((entry) => [entryKey(entry), entry]))
    changed[section] = sortedAfter[section].filter((entry: AnyEntry) => {
      const previous = oldEntries.get(entryKey(entry))
      oldEntries.delete(entryKey(entry))
      return previous === undefined || !equalEntries(previous, entry)
    })
    removed[section] = [...oldEntries.keys()]
  }
  return { changed, removed } as unknown as DeclarationDelta
}

/**
 * Checks whether a delta is empty.
 *
 * @param delta - a delta
 * @returns whether it contains no changes
 * @public
 */
export function isEmptyDelta ({ changed, removed }: DeclarationDelta): boolean {
  return SECTION_NAMES.every((section) => changed[section].length === 0 && removed[section].length === 0)
}

function equalEntries (left: AnyEntry, right: AnyEntry): boolean {
  const [first, second] = [left, right] as unknown as Array<Record<string, unknown>>
  // The JSON encodings of the access `open` and of a list of one team named "open" are different.
  return Object.keys({ ...left, ...right }).every((field) => {
    return first![field] === second![field] || JSON.stringify(first![field]) === JSON.stringify(second![field])
  })
}
