import type { SectionName } from '../Declaration'
import type { DeclarationDelta } from '../DeclarationDelta'
import { EncodingError } from './EncodingError'
import { decodeLines } from './lines'
import { readEntry, readSectionName, type Sections } from './readEntry'

/**
 * Decodes a delta and checks each entry for itself; `applyDelta` checks the references.
 *
 * @param bytes - what `encodeDelta` returned
 * @returns the delta
 * @throws EncodingError - the bytes are incomplete or an entry is invalid
 * @public
 */
export function decodeDelta (bytes: Uint8Array): DeclarationDelta {
  const changed: Sections = { teams: [], keys: [], routes: [], services: [], dataCentres: [] }
  const removed: Record<SectionName, string[]> = { teams: [], keys: [], routes: [], services: [], dataCentres: [] }
  for (const [action, section, entry] of decodeLines('delta', bytes)) {
    if (action === 'set') readEntry(changed, section, entry)
    else if (action === 'remove' && typeof entry === 'string') removed[readSectionName(section)].push(entry)
    else throw new EncodingError('a line of the delta neither sets nor removes an entry')
  }
  return { changed, removed } as unknown as DeclarationDelta
}
