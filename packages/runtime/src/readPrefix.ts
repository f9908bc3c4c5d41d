import type { Readable } from 'node:stream'

/** The first bytes of a body. @internal */
export interface BodyPrefix {
  readonly bytes: Buffer
  /** Whether `bytes` is the whole body. */
  readonly complete: boolean
}

/**
 * Reads a body up to a limit and leaves the rest in the stream, paused.
 *
 * @param body - the stream
 * @param limitBytes - how much to read at least, when the body is longer
 * @returns the first bytes
 * @throws the stream's error, or an error when it closes before its end
 * @internal
 */
export async function readPrefix (body: Readable, limitBytes: number): Promise<BodyPrefix> {
  return await new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    const finish = (complete: boolean): void => {
      body.off('data', onData).off('end', onEnd).off('error', onError).off('close', onClose)
      resolve({ bytes: Buffer.concat(chunks, size), complete })
    }
    const onData = (chunk: Buffer): void => {
      chunks.push(chunk)
      size += chunk.length
      if (size <= limitBytes) return
      body.pause()
      finish(false)
    }
    const onEnd = (): void => { finish(true) }
    const onError = (err: Error): void => { reject(err) }
    const onClose = (): void => { reject(new Error('the body broke off')) }
    body.on('data', onData).on('end', onEnd).on('error', onError).on('close', onClose)
  })
}
