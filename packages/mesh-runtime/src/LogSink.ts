import { write } from 'node:fs'

/** @public */
export interface LogSinkOptions {
  /** File descriptor that lines go to. */
  readonly fd?: number
  /** Bytes that may wait for a slow reader; further lines are dropped and counted. */
  readonly maxWaitingBytes?: number
}

const STANDARD_ERROR = 2
const DEFAULT_MAX_WAITING_BYTES = 262_144

/**
 * Writes log lines without ever waiting for the reader. Lines that come faster than they are read are dropped, and the
 * next line that is written says how many. When the output is closed, nothing is written any more.
 *
 * @public
 */
export class LogSink {
  /** Lines dropped since the start. */
  dropped = 0
  private readonly fd: number
  private readonly maxWaitingBytes: number
  private waiting: string[] = []
  private waitingBytes = 0
  private unreported = 0
  private writing = false
  private closed = false

  constructor ({ fd = STANDARD_ERROR, maxWaitingBytes = DEFAULT_MAX_WAITING_BYTES }: LogSinkOptions = {}) {
    this.fd = fd
    this.maxWaitingBytes = maxWaitingBytes
  }

  /** @param line - a line without its end */
  write (line: string): void {
    if (this.closed || this.waitingBytes + line.length > this.maxWaitingBytes) {
      this.dropped += 1
      this.unreported += 1
      return
    }
    this.waiting.push(line)
    this.waitingBytes += line.length
    if (!this.writing) this.flush()
  }

  private flush (): void {
    if (this.waiting.length === 0 || this.closed) return
    if (this.unreported > 0) {
      this.waiting.push(JSON.stringify({ level: 'warn', message: 'log lines dropped', count: this.unreported }))
      this.unreported = 0
    }
    this.writeRest(Buffer.from(this.waiting.join('\n') + '\n'))
    this.waiting = []
  }

  private writeRest (content: Buffer): void {
    this.writing = true
    write(this.fd, content, 0, content.length, null, (err, written) => {
      this.writing = false
      if (err?.code === 'EAGAIN') {
        setTimeout(() => { this.writeRest(content) }, RETRY_MS).unref()
        this.writing = true
        return
      }
      if (err !== null) {
        // The reader is gone; there is nowhere left to report it but the counter of dropped lines.
        this.closed = true
        return
      }
      if (written < content.length) return this.writeRest(content.subarray(written))
      this.waitingBytes = this.waiting.reduce((sum, line) => sum + line.length, 0)
      this.flush()
    })
  }
}

/** Pause before a full pipe is tried again. */
const RETRY_MS = 50
