import type { Readable } from 'node:stream'
import { BodyBuffer } from './BodyBuffer'

/** The first bytes of a body. @internal */
export interface BodyPrefix {
  readonly bytes: Buffer
  /** Whether `bytes` is the whole body. */
  readonly complete: boolean
}

/** @internal */
export interface ReadPrefixOptions {
  readonly body: Readable
  /** Reading stops after the chunk that exceeds this size. */
  readonly limitBytes: number
  /** Maximum time without data; unlimited by default. */
  readonly idleTimeoutMs?: number
}

/**
 * Reads the start of a body, and leaves the rest in the paused stream.
 *
 * @param options - the stream and the limits
 * @returns the first bytes
 * @throws the stream's error, or an error when the stream closes before its end or the idle timeout expires
 * @internal
 */
export async function readPrefix ({ body, limitBytes, idleTimeoutMs }: ReadPrefixOptions): Promise<BodyPrefix> {
  return await new Promise((resolve, reject) => {
    const received = new BodyBuffer()
    let timer: NodeJS.Timeout | undefined
    const detach = (): void => {
      clearTimeout(timer)
      body.off('data', onData).off('end', onEnd).off('error', onError).off('close', onClose)
      // Later errors are handled by the reader of the rest; until then they must not be uncaught exceptions.
      body.on('error', () => {})
    }
    const finish = (complete: boolean): void => {
      detach()
      resolve({ bytes: received.concat(), complete })
    }
    const fail = (err: Error): void => {
      detach()
      reject(err)
    }
    const onData = (chunk: Buffer): void => {
      received.add(chunk)
      timer?.refresh()
      if (received.size <= limitBytes) return
      body.pause()
      finish(false)
    }
    const onEnd = (): void => { finish(true) }
    const onError = (err: Error): void => { fail(err) }
    const onClose = (): void => { fail(new Error('the body was closed before its end')) }
    if (body.destroyed && !body.readableEnded) {
      onClose()
      return
    }
    if (idleTimeoutMs !== undefined) {
      timer = setTimeout(() => {
        fail(new Error('no data of the body arrived within the idle timeout'))
      }, idleTimeoutMs)
    }
    body.on('data', onData).on('end', onEnd).on('error', onError).on('close', onClose)
  })
}
