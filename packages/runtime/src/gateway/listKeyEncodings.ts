/**
 * Lists the encodings in which a key can appear in a header or a request target.
 *
 * @param key - the caller's key, if there is one
 * @returns the key itself, percent-encoded, in base64 and in base64url
 * @internal
 */
export function listKeyEncodings (key: string | undefined): readonly string[] {
  if (key === undefined) return []
  const base64 = Buffer.from(key).toString('base64')
  return [...new Set([key, encodeURIComponent(key), base64, Buffer.from(key).toString('base64url')])]
}

/**
 * Checks whether a request target contains the key, in any percent-encoding.
 *
 * @param target - path and query
 * @param secrets - encodings of the key
 * @returns whether the target would reveal the key to a backend server
 * @internal
 */
export function targetContainsSecret (target: string, secrets: readonly string[]): boolean {
  if (secrets.length === 0) return false
  const decoded = decodePercentEscapes(target)
  return secrets.some((secret) => target.includes(secret) || decoded.includes(secret))
}

function decodePercentEscapes (target: string): string {
  return target.replaceAll(/%[0-9a-f]{2}/gi, (escape) => String.fromCharCode(Number.parseInt(escape.slice(1), 16)))
}
