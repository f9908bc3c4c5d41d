/** Thrown when a check finds that the program has violated one of its invariants. @public */
export class InvariantError extends Error {
  override readonly name = 'InvariantError'

  /**
   * @param invariant - name of the invariant, as in `docs/invariants.md`
   * @param detail - the state that violates it
   */
  constructor (readonly invariant: string, detail: string) {
    super(`${invariant}: ${detail}`)
  }
}
