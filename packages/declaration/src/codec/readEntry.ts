import { type Declaration, SECTION_NAMES, type SectionName } from '../Declaration'
import { entrySchemas } from '../declarationSchema'
import type { AnyEntry } from '../entryKey'
import { EncodingError } from './EncodingError'

/** Entries by section, while they are collected. @internal */
export type Sections = { [Name in SectionName]: Array<Declaration[Name][number]> }

/**
 * Verifies an entry and adds it to its section.
 *
 * @param sections - what was read so far
 * @param section - name of the section
 * @param entry - the entry
 * @throws EncodingError - there is no such section, or the entry is invalid
 * @internal
 */
export function readEntry (sections: Sections, section: unknown, entry: unknown): void {
  const name = readSectionName(section)
  const parsed = entrySchemas[name].safeParse(entry)
  if (!parsed.success) throw new EncodingError(`an entry of the section ${name} is invalid`)
  const entries: AnyEntry[] = sections[name]
  entries.push(parsed.data as unknown as AnyEntry)
}

/**
 * @param section - what stands in an encoding
 * @returns the name of a section
 * @throws EncodingError - there is no such section
 * @internal
 */
export function readSectionName (section: unknown): SectionName {
  const name = SECTION_NAMES.find((known) => known === section)
  if (name === undefined) throw new EncodingError('an entry belongs to no section')
  return name
}
