/** Ids are plain ASCII and at most this long, so a length fits a byte. */
const MAX_TEXT_BYTES = 255

/** Many short ASCII texts in one buffer, without a JavaScript object for each. @internal */
export class TextBuffer {
  private bytes: Buffer
  private used = 0

  /** @param capacity - bytes to reserve */
  constructor (capacity: number) {
    this.bytes = Buffer.alloc(capacity)
  }

  /** Bytes in use, holes of removed texts included. */
  get length (): number {
    return this.used
  }

  /** Bytes reserved. */
  get capacity (): number {
    return this.bytes.length
  }

  /**
   * @param text - an ASCII text that fits the free space
   * @returns the offset of the text
   */
  add (text: string): number {
    if (text.length > MAX_TEXT_BYTES) throw new RangeError('the text is too long for the buffer')
    const offset = this.used
    this.used += this.bytes.write(text, offset, 'latin1')
    return offset
  }

  /**
   * @param offset - where the text starts
   * @param length - how long it is
   * @returns the text
   */
  read (offset: number, length: number): string {
    return this.bytes.toString('latin1', offset, offset + length)
  }

  /**
   * @param offset - where a text starts
   * @param length - how long it is
   * @param text - another text
   * @returns whether both are the same
   */
  equals (offset: number, length: number, text: string): boolean {
    if (length !== text.length) return false
    for (let at = 0; at < length; at++) {
      if (this.bytes[offset + at] !== text.charCodeAt(at)) return false
    }
    return true
  }
}
