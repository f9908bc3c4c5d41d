import { type Declaration, SECTION_NAMES, type SectionName } from './Declaration'
import type { DeclarationDelta } from './DeclarationDelta'
import { type AnyEntry, entryKey } from './entryKey'
import { sortDeclaration } from './sortDeclaration'

/**
 * @param before - a declaration
 * @param after - another declaration
 * @returns the entries that changed from one to the other, and the ids of those that went
 * @public
 */
export function diffDeclarations (before: Declaration, after: Declaration): DeclarationDelta {
  const changed: Partial<Record<SectionName, AnyEntry[]>> = {}
  const removed: Partial<Record<SectionName, string[]>> = {}
  const [from, to] = [sortDeclaration(before), sortDeclaration(after)]
  for (const section of SECTION_NAMES) {
    const old = new Map<string, AnyEntry>(from[section].map((entry) => [entryKey(entry), entry]))
    changed[section] = to[section].filter((entry: AnyEntry) => {
      const previous = old.get(entryKey(entry))
      old.delete(entryKey(entry))
      return previous === undefined || !equalEntries(previous, entry)
    })
    removed[section] = [...old.keys()]
  }
  return { changed, removed } as unknown as DeclarationDelta
}

/**
 * @param delta - a delta
 * @returns whether it changes nothing
 * @public
 */
export function isEmptyDelta ({ changed, removed }: DeclarationDelta): boolean {
  return SECTION_NAMES.every((section) => changed[section].length === 0 && removed[section].length === 0)
}

function equalEntries (left: AnyEntry, right: AnyEntry): boolean {
  const [first, second] = [left, right] as unknown as Array<Record<string, unknown>>
  // JSON keeps the access `open` apart from a list of one team named "open".
  return Object.keys({ ...left, ...right }).every((field) => {
    return first![field] === second![field] || JSON.stringify(first![field]) === JSON.stringify(second![field])
  })
}
