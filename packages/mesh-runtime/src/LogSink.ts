import { write } from 'node:fs'

/** @public */
export interface LogSinkOptions {
  /** File descriptor to write to; standard error by default. */
  readonly fd?: number
  /** Bytes that may be buffered for a slow reader; further lines are dropped and counted. */
  readonly maxWaitingBytes?: number
}

const STDERR_FD = 2
const DEFAULT_MAX_WAITING_BYTES = 262_144

/**
 * Writes log lines without blocking on the reader. Lines that do not fit into the buffer are dropped, and a line that
 * follows reports how many. After a write error other than EAGAIN all further lines are dropped.
 *
 * @public
 */
export class LogSink {
  /** Number of lines dropped since the start. */
  droppedLines = 0
  private readonly fd: number
  private readonly maxWaitingBytes: number
  private waiting: string[] = []
  private waitingBytes = 0
  private unreportedDrops = 0
  private isWriting = false
  private closed = false

  constructor ({ fd = STDERR_FD, maxWaitingBytes = DEFAULT_MAX_WAITING_BYTES }: LogSinkOptions = {}) {
    this.fd = fd
    this.maxWaitingBytes = maxWaitingBytes
  }

  /** @param line - a line without its line terminator */
  write (line: string): void {
    if (this.closed || this.waitingBytes + line.length > this.maxWaitingBytes) {
      this.droppedLines += 1
      this.unreportedDrops += 1
      return
    }
    this.waiting.push(line)
    this.waitingBytes += line.length
    if (!this.isWriting) this.flush()
  }

  private flush (): void {
    if (this.waiting.length === 0 || this.closed) return
    if (this.unreportedDrops > 0) {
      this.waiting.push(JSON.stringify({ level: 'warn', message: 'log lines dropped', count: this.unreportedDrops }))
      this.unreportedDrops = 0
    }
    this.writeFully(Buffer.from(this.waiting.join('\n') + '\n'))
    this.waiting = []
  }

  private writeFully (content: Buffer): void {
    this.isWriting = true
    write(this.fd, content, 0, content.length, null, (err, written) => {
      this.isWriting = false
      if (err?.code === 'EAGAIN') {
        setTimeout(() => { this.writeFully(content) }, RETRY_DELAY_MS).unref()
        this.isWriting = true
        return
      }
      if (err !== null) {
        // The reader is gone. Only the counter of dropped lines can still report it.
        this.closed = true
        return
      }
      if (written < content.length) return this.writeFully(content.subarray(written))
      this.waitingBytes = this.waiting.reduce((sum, line) => sum + line.length, 0)
      this.flush()
    })
  }
}

/** Delay before writing to a full pipe again. */
const RETRY_DELAY_MS = 50
