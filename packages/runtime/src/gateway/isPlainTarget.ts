/**
 * Tells whether a request target means the same path to every server. Targets in absolute form and paths with dot
 * segments are refused: a backend server that resolves `/open/../private` would run a request on another route than
 * the one that was checked.
 *
 * @param target - the target of the request line
 * @returns whether the target is a path without dot segments
 * @internal
 */
export function isPlainTarget (target: string): boolean {
  if (!target.startsWith('/')) return false
  const path = target.split('?', 1)[0]!.replaceAll(/%2e/gi, '.').replaceAll(/%2f|%5c|\\/gi, '/')
  return path.split('/').every((segment) => {
    // Some servers cut path parameters (`..;a=b`) before they resolve dot segments.
    const name = segment.split(';', 1)[0]
    return name !== '.' && name !== '..'
  })
}
