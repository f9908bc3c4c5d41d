/**
 * Checks that every server resolves a request target to the same path. Targets in absolute form and paths with dot
 * segments are rejected: a backend server that resolves `/open/../private` would run the request on a different route
 * than the one that was authorized.
 *
 * @param target - the target of the request line
 * @returns whether the target is a path without dot segments
 * @internal
 */
export function isUnambiguousTarget (target: string): boolean {
  if (!target.startsWith('/')) return false
  const path = target.split('?', 1)[0]!.replaceAll(/%2e/gi, '.').replaceAll(/%2f|%5c|\\/gi, '/')
  return path.split('/').every((segment) => {
    // Some servers strip path parameters (`..;a=b`) before they resolve dot segments.
    const name = segment.split(';', 1)[0]
    return name !== '.' && name !== '..'
  })
}
