/** Paths that are already normalised: unreserved characters only, no dot segments and no empty segments. */
const PLAIN_PATH = /^(?:\/[A-Za-z0-9_~-][A-Za-z0-9_~.-]*)+$/

/** Control characters, and the two characters that servers interpret as a separator. */
// eslint-disable-next-line no-control-regex
const FORBIDDEN_IN_SEGMENT = /[\u0000-\u001f\u007f/\\]/

/**
 * Converts a path to its canonical form, which is used to match routes, so that no alternative spelling of a path can
 * bypass the access rule of its route. Percent-encoding is decoded and encoded again in a uniform way, and a trailing
 * slash is removed. Paths that servers interpret differently are rejected: encoded slashes, backslashes, dot segments,
 * empty segments, control characters and invalid percent-encoding.
 *
 * @param path - path of a request target without the query, or a path prefix
 * @returns the canonical form, or undefined if the path must be rejected
 * @public
 */
export function normalisePath (path: string): string | undefined {
  if (PLAIN_PATH.test(path) || path === '/') return path
  if (!path.startsWith('/') || /[?#]/.test(path)) return undefined
  const trimmed = path.endsWith('/') ? path.slice(0, -1) : path
  const segments = trimmed.slice(1).split('/').map(normaliseSegment)
  return segments.includes(undefined) ? undefined : `/${segments.join('/')}`
}

function normaliseSegment (segment: string): string | undefined {
  try {
    const decoded = decodeURIComponent(segment)
    if (decoded === '' || decoded === '.' || decoded === '..') return undefined
    return FORBIDDEN_IN_SEGMENT.test(decoded) ? undefined : encodeURIComponent(decoded)
  } catch {
    // Invalid percent-encoding, or bytes that are not UTF-8.
    return undefined
  }
}
