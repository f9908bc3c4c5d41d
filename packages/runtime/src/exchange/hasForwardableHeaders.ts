import { validateHeaderName, validateHeaderValue } from 'node:http'

/**
 * Checks whether the headers of a message can be sent on. The parser of some versions of Node lets names through that
 * end with a space, and sending such a header throws.
 *
 * @param raw - alternating names and values, as in `rawHeaders` of Node
 * @returns whether all of them are valid
 * @public
 */
export function hasForwardableHeaders (raw: readonly string[]): boolean {
  try {
    for (let index = 0; index + 1 < raw.length; index += 2) {
      validateHeaderName(raw[index]!)
      validateHeaderValue(raw[index]!, raw[index + 1]!)
    }
    return true
  } catch {
    // The error only names the header; the caller rejects the whole message.
    return false
  }
}
