import { checkDeclaration } from '../checkDeclaration'
import type { Declaration } from '../Declaration'
import { formatPath } from '../DeclarationProblem'
import { sortDeclaration } from '../sortDeclaration'
import { EncodingError } from './EncodingError'
import { decodeLines } from './lines'
import { readEntry, type Sections } from './readEntry'

/**
 * Decodes and checks a declaration. The empty declaration is valid here, as the state before the first one.
 *
 * @param bytes - what `encodeDeclaration` returned
 * @returns the declaration, sorted
 * @throws EncodingError - the bytes are incomplete, or the declaration is invalid
 * @public
 */
export function decodeDeclaration (bytes: Uint8Array): Declaration {
  const sections: Sections = { teams: [], keys: [], routes: [], services: [], dataCentres: [] }
  for (const [section, entry] of decodeLines('declaration', bytes)) readEntry(sections, section, entry)
  const isEmpty = Object.values(sections).every((entries) => entries.length === 0)
  const [issue] = isEmpty ? [] : checkDeclaration(sections)
  if (issue !== undefined) throw new EncodingError(`${formatPath(issue.path)}: ${issue.message}`)
  return sortDeclaration(sections)
}
