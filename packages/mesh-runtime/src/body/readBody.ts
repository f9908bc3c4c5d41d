import type { EvictionReason } from '@lavenderturn/mesh'
import { BodyBuffer } from '@lavenderturn/runtime'
import type { IncomingMessage } from 'node:http'
import type { BodyShare } from '../memory/MemoryAccount'
import { MemoryHolder } from '../memory/MemoryHolder'
import { BodyEvictedError, BodyTooLargeError, IncompleteBodyError } from './bodyErrors'

/** @public */
export interface ReadBodyOptions {
  readonly maxBytes: number
  /** What the body holds of the node's memory; the caller closes it when the body is no longer needed. */
  readonly share?: BodyShare
}

/**
 * Reads a complete message body into memory.
 *
 * @param message - a request or a response
 * @param options - the limit, and the share of the node's memory
 * @returns the body
 * @throws BodyTooLargeError if the body exceeds the limit
 * @throws BodyEvictedError if the body was given up because memory is short
 * @throws IncompleteBodyError if the connection ended before the body was complete
 * @public
 */
export async function readBody (message: IncomingMessage, { maxBytes, share }: ReadBodyOptions): Promise<BodyBuffer> {
  return await new Promise((resolve, reject) => {
    let received = new BodyBuffer()
    let isGivenUp = false
    const giveUp = (err: Error): void => {
      isGivenUp = true
      // The rest of the message may still arrive for a while.
      received = new BodyBuffer()
      share?.close()
      message.resume()
      reject(err)
    }
    if (share !== undefined) {
      share.holder = new MessageHolder(message, () => {
        giveUp(new BodyEvictedError('all bodies together need more memory than allowed'))
      })
    }
    const onData = (chunk: Buffer): void => {
      if (isGivenUp) return
      if (received.size + chunk.length > maxBytes) {
        giveUp(new BodyTooLargeError(`body is longer than ${maxBytes} bytes`))
        return
      }
      received.add(chunk)
      share?.hold(chunk.length)
    }
    const onEnd = (): void => {
      if (!message.complete) {
        fail(new IncompleteBodyError('connection ended before the body was complete'))
        return
      }
      share?.enter('serving')
      detach()
      resolve(received)
    }
    const fail = (err: Error): void => {
      detach()
      reject(new IncompleteBodyError(err.message))
    }
    const onClose = (): void => { fail(new Error('connection closed before the body was complete')) }
    // The message is kept for longer than its body, which the listeners and the promise refer to.
    const detach = (): void => {
      message.off('data', onData).off('end', onEnd).off('error', fail).off('close', onClose)
      message.on('error', ignoreError)
    }
    message.on('data', onData).on('end', onEnd).on('error', fail).on('close', onClose)
  })
}

/** Errors after the end of the body are those of its connection, which the response reports. */
function ignoreError (): void {}

class MessageHolder extends MemoryHolder {
  constructor (private readonly message: IncomingMessage, private readonly onEvicted: () => void) {
    super()
  }

  override pause (): void {
    this.message.pause()
  }

  override resume (): void {
    this.message.resume()
  }

  override evict (reason: EvictionReason): void {
    this.onEvicted()
  }
}
