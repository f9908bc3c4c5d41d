import type { Readable } from 'node:stream'

/** The first bytes of a body. @internal */
export interface BodyPrefix {
  readonly bytes: Buffer
  /** Whether `bytes` is the whole body. */
  readonly complete: boolean
}

/** @internal */
export interface ReadPrefixOptions {
  readonly body: Readable
  /** How much to read at least, when the body is longer. */
  readonly limitBytes: number
  /** Longest time without a byte; unlimited by default. */
  readonly idleTimeoutMs?: number
}

/**
 * Reads a body up to a limit and leaves the rest in the stream, paused.
 *
 * @param options - the stream and how much of it to read
 * @returns the first bytes
 * @throws the stream's error, or an error when it closes before its end or stands still for too long
 * @internal
 */
export async function readPrefix ({ body, limitBytes, idleTimeoutMs }: ReadPrefixOptions): Promise<BodyPrefix> {
  return await new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    let timer: NodeJS.Timeout | undefined
    const detach = (): void => {
      clearTimeout(timer)
      body.off('data', onData).off('end', onEnd).off('error', onError).off('close', onClose)
      // A later error is seen by whoever reads the rest; it must not end the process before that.
      body.on('error', () => {})
    }
    const finish = (complete: boolean): void => {
      detach()
      resolve({ bytes: Buffer.concat(chunks, size), complete })
    }
    const fail = (err: Error): void => {
      detach()
      reject(err)
    }
    const onData = (chunk: Buffer): void => {
      chunks.push(chunk)
      size += chunk.length
      timer?.refresh()
      if (size <= limitBytes) return
      body.pause()
      finish(false)
    }
    const onEnd = (): void => { finish(true) }
    const onError = (err: Error): void => { fail(err) }
    const onClose = (): void => { fail(new Error('the body broke off')) }
    if (body.destroyed && !body.readableEnded) {
      onClose()
      return
    }
    if (idleTimeoutMs !== undefined) {
      timer = setTimeout(() => { fail(new Error('the body stands still')) }, idleTimeoutMs)
    }
    body.on('data', onData).on('end', onEnd).on('error', onError).on('close', onClose)
  })
}
