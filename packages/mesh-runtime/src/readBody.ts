import type { IncomingMessage } from 'node:http'

/** @internal */
export interface ReadBodyOptions {
  readonly maxBytes: number
}

/** The body was longer than allowed. @internal */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError'
}

/** The message ended before its body was complete. @internal */
export class IncompleteBodyError extends Error {
  override readonly name = 'IncompleteBodyError'
}

/**
 * Reads a whole body.
 *
 * @param message - a request or an answer
 * @param options - the limit
 * @returns the body
 * @throws BodyTooLargeError beyond the limit
 * @throws IncompleteBodyError when the connection ended first
 * @internal
 */
export async function readBody (message: IncomingMessage, { maxBytes }: ReadBodyOptions): Promise<Buffer> {
  return await new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > maxBytes) reject(new BodyTooLargeError(`body is longer than ${maxBytes} bytes`))
      else chunks.push(chunk)
    })
    message.on('end', () => {
      // A body that ends with its connection is complete only if the connection was closed in order.
      if (message.complete) resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))
      else reject(new IncompleteBodyError('connection ended inside the body'))
    })
    message.on('error', (err) => { reject(new IncompleteBodyError(err.message)) })
    message.on('close', () => { reject(new IncompleteBodyError('connection closed inside the body')) })
  })
}
