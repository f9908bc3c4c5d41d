import { type Declaration, SECTION_NAMES, type SectionName } from '../Declaration'
import { entrySchemas } from '../declarationSchema'
import type { AnyEntry } from '../entryKey'
import { EncodingError } from './EncodingError'

/** Decoded entries by section. @internal */
export type Sections = { [Name in SectionName]: Array<Declaration[Name][number]> }

/**
 * Validates an entry and adds it to its section.
 *
 * @param sections - entries decoded so far
 * @param section - name of the section
 * @param entry - the entry
 * @throws EncodingError if the section is unknown or the entry is invalid
 * @internal
 */
export function addEntry (sections: Sections, section: unknown, entry: unknown): void {
  const name = parseSectionName(section)
  const parsed = entrySchemas[name].safeParse(entry)
  if (!parsed.success) throw new EncodingError(`an entry of the section ${name} is invalid`)
  const entries: AnyEntry[] = sections[name]
  entries.push(parsed.data as unknown as AnyEntry)
}

/**
 * Validates the name of a section.
 *
 * @param section - value from an encoding
 * @returns the name of the section
 * @throws EncodingError if the section is unknown
 * @internal
 */
export function parseSectionName (section: unknown): SectionName {
  const name = SECTION_NAMES.find((candidate) => candidate === section)
  if (name === undefined) throw new EncodingError('an entry belongs to an unknown section')
  return name
}
