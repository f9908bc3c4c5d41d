import type { EvictionReason } from '@lavenderturn/mesh'
import { BodyBuffer, endResponse } from '@lavenderturn/runtime'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { MemoryHolder } from '../memory/MemoryHolder'
import type { BodyShare } from '../memory/MemoryAccount'
import { BodyEvictedError, BodyTooLargeError, IncompleteBodyError } from './bodyErrors'
import { type BodyEnd, ResponseBody } from './ResponseBody'

/** A body up to this size is written at once; larger ones as fast as the receiver takes them. */
const MAX_SINGLE_WRITE_BYTES = 65_536

/** Bytes that are handed to the connection at a time, so that it can write several pieces with one call. */
const MAX_UNSENT_BYTES = 262_144

/** @internal */
export interface SpooledBodyOptions {
  readonly message: IncomingMessage
  /** What the body holds of the node's memory; not counted by default. */
  readonly share?: BodyShare
  readonly maxBytes: number
  /** Limit of the pieces in which the body arrives, at least one for each chunk; unlimited by default. */
  readonly maxPieces?: number
  /** Whether a body that was read completely is kept while it is sent, so that it can be sent again. */
  readonly isReusable?: boolean
  /** Checked at the end of the message: whether its connection broke, which Node does not always report. */
  readonly hasFailed?: () => boolean
}

/**
 * The body of a response that is read into memory. It is passed on once it is complete, so that an attempt whose
 * response breaks off can be repeated elsewhere. If it needs more than its part of the memory, it is passed on while it
 * is read, and read only as fast as its receiver takes it.
 *
 * @internal
 */
export class SpooledBody extends ResponseBody {
  /** Settled when the body is complete, or can only be passed on while it is read; rejects if it can be neither. */
  readonly ready: Promise<void>
  override readonly whenEnded: Promise<BodyEnd>
  private readonly options: Omit<SpooledBodyOptions, 'hasFailed' | 'message'>
  /**
   * Where the body is read from. Absent once nothing more is read: the message refers to its request, whose body would
   * otherwise be held as long as that of the response.
   */
  private source: Pick<SpooledBodyOptions, 'hasFailed' | 'message'> | undefined
  private readonly statedLength: number | undefined
  private readonly buffer = new BodyBuffer()
  private size = 0
  private pieces = 0
  private state: 'reading' | 'read' | 'failed' = 'reading'
  private isStreaming = false
  private isReleased = false
  private isFreed = false
  private wasSent = false
  private output: BodyOutput | undefined
  private settleReady!: (err?: Error) => void
  private settleEnd!: (end: BodyEnd) => void

  constructor ({ message, hasFailed, ...options }: SpooledBodyOptions) {
    super()
    this.options = options
    this.source = { message, hasFailed }
    const stated = message.headers['content-length']
    this.statedLength = stated === undefined ? undefined : Number(stated)
    this.ready = new Promise((resolve, reject) => {
      this.settleReady = (err) => {
        if (err === undefined) resolve()
        else reject(err)
      }
    })
    this.whenEnded = new Promise((resolve) => { this.settleEnd = resolve })
    // A rejection is not an unhandled one if the exchange no longer waits for the body.
    this.ready.catch(() => {})
    const { share } = options
    if (share !== undefined) share.holder = new SpoolHolder(this)
    message.on('data', (piece: Buffer) => { this.add(piece) })
    message.on('end', () => { this.end() })
    message.on('error', (err) => { this.fail(new IncompleteBodyError(err.message)) })
    message.on('close', () => { this.fail(new IncompleteBodyError('connection closed before the body was complete')) })
  }

  override get isWhole (): boolean {
    return this.state === 'read' && !this.isStreaming
  }

  override get length (): number | undefined {
    // The HTTP parser has checked the stated length, and ends the message with an error if the body is shorter.
    return this.isWhole ? this.size : this.statedLength
  }

  override get canSend (): boolean {
    return !this.isFreed && (this.isWhole || !this.wasSent)
  }

  override send (res: ServerResponse): void {
    const { share, isReusable = false } = this.options
    const keeps = isReusable && this.isWhole
    share?.enter('writing')
    this.wasSent = true
    this.output = new BodyOutput({
      res,
      next: keeps ? createReader(this.buffer.pieces) : () => this.buffer.takeFirst(),
      onTaken: (bytes) => { share?.take(bytes, !keeps) },
      onClose: (isSent) => { this.closeOutput(isSent) }
    })
    if (this.state === 'failed') this.output.abort()
    else if (this.isWhole && this.size <= MAX_SINGLE_WRITE_BYTES) this.output.end(this.buffer.concat())
    else this.output.flush(this.state === 'read')
  }

  override discard (): void {
    this.isReleased = true
    if (this.output === undefined) this.free('discarded')
  }

  /** Stops reading, and passes the body on while it is read. */
  pause (): void {
    if (this.state !== 'reading') return
    this.source?.message.pause()
    this.isStreaming = true
    this.settleReady()
  }

  /** Goes on reading. */
  resume (): void {
    if (this.state === 'reading') this.source?.message.resume()
  }

  /**
   * Gives the body up, also while it is sent.
   *
   * @param reason - why
   */
  evict (reason: EvictionReason): void {
    const err = new BodyEvictedError(reason === 'slow' ? 'the body was taken too slowly' : 'all bodies need too much memory')
    this.settleReady(err)
    this.output?.abort()
    this.free('discarded')
  }

  private add (piece: Buffer): void {
    if (this.state !== 'reading') return
    const { maxBytes, maxPieces = Number.POSITIVE_INFINITY, share } = this.options
    this.size += piece.length
    this.pieces += 1
    if (this.size > maxBytes) return this.fail(new BodyTooLargeError(`body is longer than ${maxBytes} bytes`))
    if (this.pieces > maxPieces) return this.fail(new BodyTooLargeError(`body has more than ${maxPieces} pieces`))
    this.buffer.add(piece)
    share?.hold(piece.length)
    this.output?.flush(false)
  }

  private end (): void {
    if (this.state !== 'reading') return
    const { message, hasFailed } = this.source!
    // A body delimited by the end of its connection is complete only if the connection was closed cleanly.
    if (!message.complete || hasFailed?.() === true) {
      this.fail(new IncompleteBodyError('connection ended before the body was complete'))
      return
    }
    this.state = 'read'
    this.source = undefined
    this.settleReady()
    this.output?.flush(true)
  }

  private fail (err: Error): void {
    if (this.state !== 'reading') return
    this.state = 'failed'
    this.settleReady(err)
    // The rest of the message may still arrive for a while.
    this.source?.message.destroy()
    this.source = undefined
    this.output?.abort()
    this.free('broken')
  }

  private closeOutput (isSent: boolean): void {
    const { isReusable = false, share } = this.options
    // It refers to the response, and with it to the connection of the receiver.
    this.output = undefined
    if (isSent && isReusable && this.isWhole && !this.isReleased) share?.enter('kept')
    else if (isSent) this.free('complete')
    else if (!isReusable || !this.isWhole || this.isReleased) this.free('discarded')
  }

  private free (end: BodyEnd): void {
    this.isFreed = true
    if (this.state === 'reading') {
      this.state = 'failed'
      this.source?.message.destroy()
      this.source = undefined
    }
    while (this.buffer.size > 0 && this.buffer.takeFirst() !== undefined);
    this.options.share?.close()
    this.settleEnd(end)
  }
}

class SpoolHolder extends MemoryHolder {
  constructor (private readonly body: SpooledBody) {
    super()
  }

  override pause (): void {
    this.body.pause()
  }

  override resume (): void {
    this.body.resume()
  }

  override evict (reason: EvictionReason): void {
    this.body.evict(reason)
  }
}

function createReader (pieces: readonly Buffer[]): () => Buffer | undefined {
  let index = 0
  return () => pieces[index++]
}

interface BodyOutputOptions {
  readonly res: ServerResponse
  /** Returns the next bytes to write, if there are any now. */
  readonly next: () => Buffer | undefined
  /** Called when the connection has taken bytes. */
  readonly onTaken: (bytes: number) => void
  /** Called when the response was sent, or its connection was closed before. */
  readonly onClose: (isSent: boolean) => void
}

/** Writes a body to a response, as fast as its connection takes it. */
class BodyOutput {
  private isClosed = false
  private isBlocked = false
  private isEnding = false
  private isLast = false

  constructor (private readonly options: BodyOutputOptions) {
    options.res.once('close', () => { this.close() })
  }

  /** @param isLast - whether no more bytes follow what can be read now */
  flush (isLast: boolean): void {
    const { res, next, onTaken } = this.options
    while (!this.isBlocked && !this.isClosed && !this.isEnding) {
      const piece = next()
      if (piece === undefined) break
      const isDrained = res.write(piece, (err) => { if (err == null) onTaken(piece.length) })
      if (!isDrained && res.writableLength >= MAX_UNSENT_BYTES) this.waitForDrain()
    }
    this.isLast ||= isLast
    if (this.isLast && !this.isBlocked && !this.isClosed) this.end()
  }

  /** @param rest - the rest of the body */
  end (rest?: Buffer): void {
    if (this.isEnding) return
    this.isEnding = true
    const { res } = this.options
    endResponse({ req: res.req, res, body: rest })
  }

  /** Closes the connection, so that the receiver recognises the response as incomplete. */
  abort (): void {
    this.options.res.destroy()
  }

  private waitForDrain (): void {
    this.isBlocked = true
    this.options.res.once('drain', () => {
      this.isBlocked = false
      this.flush(this.isLast)
    })
  }

  private close (): void {
    if (this.isClosed) return
    this.isClosed = true
    this.options.onClose(this.options.res.writableFinished)
  }
}
