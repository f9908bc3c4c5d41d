/**
 * Lists the forms in which a key can stand in a header or a target.
 *
 * @param key - the caller's key, if there is one
 * @returns the key as it is, percent-encoded and in base64
 * @internal
 */
export function listSecretForms (key: string | undefined): readonly string[] {
  if (key === undefined) return []
  const base64 = Buffer.from(key).toString('base64')
  return [...new Set([key, encodeURIComponent(key), base64, Buffer.from(key).toString('base64url')])]
}

/**
 * Tells whether a request target holds the key, in any percent-encoding.
 *
 * @param target - path and query
 * @param secrets - forms of the key
 * @returns whether a backend server would see the key in the target
 * @internal
 */
export function targetHoldsSecret (target: string, secrets: readonly string[]): boolean {
  if (secrets.length === 0) return false
  const decoded = decodeLeniently(target)
  return secrets.some((secret) => target.includes(secret) || decoded.includes(secret))
}

function decodeLeniently (target: string): string {
  return target.replaceAll(/%[0-9a-f]{2}/gi, (escape) => String.fromCharCode(Number.parseInt(escape.slice(1), 16)))
}
