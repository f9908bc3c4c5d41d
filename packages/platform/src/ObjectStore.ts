import type { Digest } from '@lavenderturn/types'

/** Client of the platform's object store. Objects are addressed by the SHA-256 digest of their content. @public */
export abstract class ObjectStore {
  /**
   * Stores an object. The call is idempotent, because the name of an object is derived from its content.
   *
   * @param bytes - content of the object
   * @returns its digest
   * @throws UnreachableError or OutcomeUnknownError if it is not certain that the object was stored
   */
  abstract put (bytes: Uint8Array): Promise<Digest>

  /**
   * Reads an object and verifies its digest.
   *
   * @param digest - digest of the object
   * @returns the content, or undefined if the object does not exist
   * @throws UnreachableError if the service does not respond
   */
  abstract get (digest: Digest): Promise<Uint8Array | undefined>

  /**
   * Closes all connections.
   *
   * @returns a promise that resolves when they are closed
   */
  async close (): Promise<void> {}
}
