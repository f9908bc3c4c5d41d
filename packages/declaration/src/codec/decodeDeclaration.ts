import { checkDeclaration } from '../checkDeclaration'
import type { Declaration } from '../Declaration'
import { formatPath } from '../DeclarationProblem'
import { sortDeclaration } from '../sortDeclaration'
import { addEntry, type Sections } from './addEntry'
import { EncodingError } from './EncodingError'
import { decodeLines } from './lines'

/**
 * Decodes and validates a declaration. The empty declaration is valid here, because it represents the state before the
 * first declaration.
 *
 * @param bytes - output of `encodeDeclaration`
 * @returns the declaration, sorted
 * @throws EncodingError if the bytes are incomplete or the declaration is invalid
 * @public
 */
export function decodeDeclaration (bytes: Uint8Array): Declaration {
  const sections: Sections = { teams: [], keys: [], routes: [], services: [], dataCentres: [] }
  for (const [section, entry] of decodeLines('declaration', bytes)) addEntry(sections, section, entry)
  const isEmpty = Object.values(sections).every((entries) => entries.length === 0)
  const [issue] = isEmpty ? [] : checkDeclaration(sections)
  if (issue !== undefined) throw new EncodingError(`${formatPath(issue.path)}: ${issue.message}`)
  return sortDeclaration(sections)
}
