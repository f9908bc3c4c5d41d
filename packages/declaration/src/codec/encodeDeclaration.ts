import { type Declaration, SECTION_NAMES } from '../Declaration'
import { sortDeclaration } from '../sortDeclaration'
import { encodeLines } from './lines'

/**
 * Encodes a declaration. Equal declarations have equal encodings.
 *
 * @param declaration - a declaration
 * @returns the encoded bytes
 * @public
 */
export function encodeDeclaration (declaration: Declaration): Uint8Array {
  return encodeLines('declaration', listRecords(sortDeclaration(declaration)))
}

function * listRecords (declaration: Declaration): Generator<unknown[]> {
  for (const section of SECTION_NAMES) {
    for (const entry of declaration[section]) yield [section, entry]
  }
}
