import type { Digest } from '@lavenderturn/types'

/** The platform's object store, with objects named by their SHA-256. @public */
export abstract class ObjectStore {
  /**
   * Stores an object. Repeating the call is safe, because the name follows from the content.
   *
   * @param bytes - the object
   * @returns its digest
   * @throws UnreachableError or OutcomeUnknownError when the object may not be stored
   */
  abstract put (bytes: Uint8Array): Promise<Digest>

  /**
   * @param digest - digest of an object
   * @returns the object, whose digest has been verified, or undefined if there is none
   * @throws UnreachableError when the service does not answer
   */
  abstract get (digest: Digest): Promise<Uint8Array | undefined>

  /**
   * Closes all connections.
   *
   * @returns when they are closed
   */
  async close (): Promise<void> {}
}
