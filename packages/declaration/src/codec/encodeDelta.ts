import { SECTION_NAMES } from '../Declaration'
import type { DeclarationDelta } from '../DeclarationDelta'
import { encodeLines } from './lines'

/**
 * Encodes a delta.
 *
 * @param delta - a delta
 * @returns the encoded bytes
 * @public
 */
export function encodeDelta (delta: DeclarationDelta): Uint8Array {
  return encodeLines('delta', listRecords(delta))
}

function * listRecords ({ changed, removed }: DeclarationDelta): Generator<unknown[]> {
  for (const section of SECTION_NAMES) {
    for (const key of removed[section]) yield ['remove', section, key]
    for (const entry of changed[section]) yield ['set', section, entry]
  }
}
