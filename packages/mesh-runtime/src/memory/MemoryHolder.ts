import type { EvictionReason } from '@lavenderturn/mesh'

/** Holds a body in memory, and does what the account of the memory decides. @internal */
export abstract class MemoryHolder {
  /** Stops reading the body from its sender. */
  abstract pause (): void

  /** Goes on reading the body. */
  abstract resume (): void

  /**
   * Gives the body up.
   *
   * @param reason - why
   */
  abstract evict (reason: EvictionReason): void
}
