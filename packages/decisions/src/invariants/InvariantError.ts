/** Thrown when the program finds that one of its own guarantees is broken. @public */
export class InvariantError extends Error {
  override readonly name = 'InvariantError'

  /**
   * @param invariant - name of the invariant, as in `docs/invariants.md`
   * @param detail - what was found
   */
  constructor (readonly invariant: string, detail: string) {
    super(`${invariant}: ${detail}`)
  }
}
