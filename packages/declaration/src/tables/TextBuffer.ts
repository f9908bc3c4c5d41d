/** Texts are ASCII and at most this long, so that a length fits into one byte. */
const MAX_TEXT_BYTES = 255

/** Append-only buffer of short ASCII texts. It avoids one JavaScript string object per text. @internal */
export class TextBuffer {
  private bytes: Buffer
  private used = 0

  /** @param capacity - size of the buffer in bytes */
  constructor (capacity: number) {
    this.bytes = Buffer.alloc(capacity)
  }

  /** Number of bytes used, including those of texts that are no longer referenced. */
  get length (): number {
    return this.used
  }

  /** Size of the buffer in bytes. */
  get capacity (): number {
    return this.bytes.length
  }

  /**
   * Appends a text.
   *
   * @param text - an ASCII text that fits into the free space
   * @returns the offset of the text
   */
  add (text: string): number {
    if (text.length > MAX_TEXT_BYTES) throw new RangeError('the text is longer than 255 bytes')
    const offset = this.used
    this.used += this.bytes.write(text, offset, 'latin1')
    return offset
  }

  /**
   * Reads a text.
   *
   * @param offset - offset of the text
   * @param length - length of the text in bytes
   * @returns the text
   */
  read (offset: number, length: number): string {
    return this.bytes.toString('latin1', offset, offset + length)
  }

  /**
   * Compares a text with a string, without allocating a string.
   *
   * @param offset - offset of the text
   * @param length - length of the text in bytes
   * @param text - the string to compare with
   * @returns whether they are equal
   */
  equals (offset: number, length: number, text: string): boolean {
    if (length !== text.length) return false
    for (let index = 0; index < length; index++) {
      if (this.bytes[offset + index] !== text.charCodeAt(index)) return false
    }
    return true
  }
}
