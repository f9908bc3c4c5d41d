/** Paths of plain characters, without dot segments or empty segments, need no decoding. */
const PLAIN_PATH = /^(?:\/[A-Za-z0-9_~-][A-Za-z0-9_~.-]*)+$/

/** Control characters, and the two characters that servers take for a separator. */
// eslint-disable-next-line no-control-regex
const FORBIDDEN_IN_SEGMENT = /[\u0000-\u001f\u007f/\\]/

/**
 * Brings a path to the one form in which routes are matched, so that no spelling of a path evades the access rule of
 * its route. Escapes are decoded and written again in one way, and a slash at the end is dropped. Paths that servers
 * read in different ways are refused: encoded slashes, backslashes, dot segments, empty segments, control characters
 * and broken escapes.
 *
 * @param path - path of a request target without its query, or a path prefix
 * @returns the normal form, or undefined for a path that must be refused
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
    // A broken escape, or bytes that are not UTF-8.
    return undefined
  }
}
