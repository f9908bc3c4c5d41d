import { type DeclaredKeyHash } from '../Declaration'
import { canMoveToHole, exceedsMaxLoad, slotCountFor } from './slots'

/** A truncated hash has 128 bits and is stored as 32-bit words. */
const WORDS_PER_HASH = 4

const HEX_DIGITS_PER_WORD = 8

const INVALID_DIGIT = 255

/** Values of the hex digits, indexed by character code. */
const DIGIT_VALUES = Uint8Array.from({ length: 128 }, (_, code) => {
  const value = '0123456789abcdef'.indexOf(String.fromCharCode(code))
  return value < 0 ? INVALID_DIGIT : value
})

const HASH_PREFIX = 'sha256:'

/**
 * Hash table from key hashes, truncated to 128 bits, to the row of the team that owns the key. It uses open addressing
 * over typed arrays, which takes 20 bytes per slot and no JavaScript object per key. The first word of a key hash is
 * uniformly distributed, so it is used as the hash value of the table.
 *
 * @internal
 */
export class KeyTable {
  private words: Uint32Array
  /** Row of the team plus one, by slot; 0 marks a free slot. */
  private rows: Uint32Array
  private count = 0
  private readonly loadedHash = new Uint32Array(WORDS_PER_HASH)

  /** @param entries - number of keys to reserve space for */
  constructor (entries: number) {
    const slots = slotCountFor(entries)
    this.words = new Uint32Array(slots * WORDS_PER_HASH)
    this.rows = new Uint32Array(slots)
  }

  /**
   * Finds the team that owns a key.
   *
   * @param hex - hash of the key in hex; digits after the first 128 bits are ignored
   * @returns the row of the team, or undefined if the key is unknown or the hash is malformed
   */
  find (hex: string): number | undefined {
    if (!this.load(hex)) return undefined
    const row = this.rows[this.findSlot()]!
    return row === 0 ? undefined : row - 1
  }

  /**
   * Adds a key, or assigns an existing one to another team.
   *
   * @param hash - hash of the key
   * @param row - row of the team
   */
  set (hash: DeclaredKeyHash, row: number): void {
    this.loadDeclaredHash(hash)
    let slot = this.findSlot()
    if (this.rows[slot] === 0) {
      if (exceedsMaxLoad(this.count, this.rows.length)) {
        this.grow()
        this.loadDeclaredHash(hash)
        slot = this.findSlot()
      }
      this.words.set(this.loadedHash, slot * WORDS_PER_HASH)
      this.count += 1
    }
    this.rows[slot] = row + 1
  }

  /**
   * Removes a key if it is in the table.
   *
   * @param hash - hash of the key
   */
  delete (hash: DeclaredKeyHash): void {
    this.loadDeclaredHash(hash)
    const slot = this.findSlot()
    if (this.rows[slot] === 0) return
    this.count -= 1
    this.closeHole(slot)
  }

  /** @returns the hashes of all keys with the rows of their teams */
  * entries (): Generator<readonly [DeclaredKeyHash, number]> {
    for (const [slot, row] of this.rows.entries()) {
      if (row === 0) continue
      const words = Array.from(this.words.subarray(slot * WORDS_PER_HASH, (slot + 1) * WORDS_PER_HASH))
      const hex = words.map((word) => word.toString(16).padStart(HEX_DIGITS_PER_WORD, '0')).join('')
      yield [`${HASH_PREFIX}${hex}` as DeclaredKeyHash, row - 1]
    }
  }

  private loadDeclaredHash (hash: DeclaredKeyHash): void {
    if (!this.load(hash.slice(HASH_PREFIX.length))) throw new RangeError('malformed key hash')
  }

  /** Parses a hash into `loadedHash`. Returns false if it is malformed. */
  private load (hex: string): boolean {
    for (let word = 0; word < WORDS_PER_HASH; word++) {
      let value = 0
      for (let index = word * HEX_DIGITS_PER_WORD; index < (word + 1) * HEX_DIGITS_PER_WORD; index++) {
        const digit = DIGIT_VALUES[hex.charCodeAt(index)] ?? INVALID_DIGIT
        if (digit === INVALID_DIGIT) return false
        value = (value << 4) | digit
      }
      this.loadedHash[word] = value
    }
    return true
  }

  /** Returns the slot of the loaded hash, or the free slot where it would be inserted. */
  private findSlot (): number {
    const { words, rows, loadedHash } = this
    const mask = rows.length - 1
    let slot = loadedHash[0]! & mask
    while (rows[slot] !== 0) {
      const offset = slot * WORDS_PER_HASH
      if (words[offset] === loadedHash[0] && words[offset + 1] === loadedHash[1] &&
        words[offset + 2] === loadedHash[2] && words[offset + 3] === loadedHash[3]) return slot
      slot = (slot + 1) & mask
    }
    return slot
  }

  /** Frees a slot and shifts later entries of its probe sequence back into it (backward-shift deletion). */
  private closeHole (start: number): void {
    const { words, rows } = this
    const mask = rows.length - 1
    let hole = start
    for (let at = (hole + 1) & mask; rows[at] !== 0; at = (at + 1) & mask) {
      if (!canMoveToHole({ home: words[at * WORDS_PER_HASH]! & mask, at, hole, mask })) continue
      words.copyWithin(hole * WORDS_PER_HASH, at * WORDS_PER_HASH, (at + 1) * WORDS_PER_HASH)
      rows[hole] = rows[at]!
      hole = at
    }
    rows[hole] = 0
  }

  private grow (): void {
    const [words, rows] = [this.words, this.rows]
    this.words = new Uint32Array(words.length * 2)
    this.rows = new Uint32Array(rows.length * 2)
    for (const [oldSlot, row] of rows.entries()) {
      if (row === 0) continue
      this.loadedHash.set(words.subarray(oldSlot * WORDS_PER_HASH, (oldSlot + 1) * WORDS_PER_HASH))
      const slot = this.findSlot()
      this.words.set(this.loadedHash, slot * WORDS_PER_HASH)
      this.rows[slot] = row
    }
  }
}
