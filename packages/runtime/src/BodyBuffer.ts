const BLOCK_BYTES = 16_384

/**
 * Collects the pieces of a body. Each piece of a chunked body is a `Buffer` of its own, which takes more than a hundred
 * bytes of the heap even if it holds a single byte, and may keep a much larger read buffer alive. Small pieces after
 * the first are therefore copied into blocks, so that the memory in use stays close to the size of the body.
 *
 * @public
 */
export class BodyBuffer {
  private readonly blocks: Buffer[] = []
  private sizeBytes = 0
  /** Free bytes at the end of the last block. */
  private free = 0

  /** Bytes added and not taken so far. */
  get size (): number {
    return this.sizeBytes
  }

  /** All bytes in order, in few buffers. */
  get pieces (): readonly Buffer[] {
    this.trimLast()
    return this.blocks
  }

  /** @param piece - the next piece; it must not be modified afterwards */
  add (piece: Buffer): void {
    this.sizeBytes += piece.length
    // Most bodies have one piece, which is kept without a copy.
    if (this.blocks.length === 0 || fillsItsMemory(piece)) {
      this.trimLast()
      this.blocks.push(piece)
      return
    }
    let offset = 0
    while (offset < piece.length) {
      if (this.free === 0) {
        this.blocks.push(Buffer.allocUnsafeSlow(BLOCK_BYTES))
        this.free = BLOCK_BYTES
      }
      const copied = piece.copy(this.blocks.at(-1)!, BLOCK_BYTES - this.free, offset)
      offset += copied
      this.free -= copied
    }
  }

  /** @returns the first bytes, which are no longer held, or undefined if nothing is held */
  takeFirst (): Buffer | undefined {
    if (this.blocks.length === 1) this.trimLast()
    const first = this.blocks.shift()
    this.sizeBytes -= first?.length ?? 0
    return first
  }

  /** @returns all pieces in one buffer */
  concat (): Buffer {
    const { pieces } = this
    return pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces, this.sizeBytes)
  }

  private trimLast (): void {
    if (this.free === 0) return
    this.blocks.push(this.blocks.pop()!.subarray(0, BLOCK_BYTES - this.free))
    this.free = 0
  }
}

/** Copying large pieces would double the work and leave their memory to the garbage collector. */
function fillsItsMemory (piece: Buffer): boolean {
  return piece.length >= BLOCK_BYTES && piece.length * 2 >= piece.buffer.byteLength
}
