/**
 * @param err - what was thrown
 * @returns its stack for the log, which tells where an unexpected error comes from
 * @internal
 */
export function describeError (err: unknown): string {
  return err instanceof Error ? err.stack ?? err.message : String(err)
}
