import type { SectionName } from '../Declaration'
import type { DeclarationDelta } from '../DeclarationDelta'
import { addEntry, parseSectionName, type Sections } from './addEntry'
import { EncodingError } from './EncodingError'
import { decodeLines } from './lines'

/**
 * Decodes a delta and validates each entry on its own. `applyDelta` checks the references between entries.
 *
 * @param bytes - output of `encodeDelta`
 * @returns the delta
 * @throws EncodingError if the bytes are incomplete or an entry is invalid
 * @public
 */
export function decodeDelta (bytes: Uint8Array): DeclarationDelta {
  const changed: Sections = { teams: [], keys: [], routes: [], services: [], dataCentres: [] }
  const removed: Record<SectionName, string[]> = { teams: [], keys: [], routes: [], services: [], dataCentres: [] }
  for (const [action, section, entry] of decodeLines('delta', bytes)) {
    if (action === 'set') addEntry(changed, section, entry)
    else if (action === 'remove' && typeof entry === 'string') removed[parseSectionName(section)].push(entry)
    else throw new EncodingError('a line of the delta is neither a "set" nor a "remove" operation')
  }
  return { changed, removed } as unknown as DeclarationDelta
}
