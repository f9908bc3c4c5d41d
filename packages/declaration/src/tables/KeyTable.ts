import { type DeclaredKeyHash } from '../Declaration'
import { canFill, isFull, slotsFor } from './slots'

/** 32-bit words of a truncated hash. */
const WORDS = 4

const HEX_DIGITS_PER_WORD = 8

const NO_DIGIT = 255

/** Values of hex digits by character code. */
const DIGIT_VALUES = Uint8Array.from({ length: 128 }, (_, code) => {
  const value = '0123456789abcdef'.indexOf(String.fromCharCode(code))
  return value < 0 ? NO_DIGIT : value
})

const HASH_PREFIX = 'sha256:'

/**
 * Key hashes, truncated to 128 bits, with the row of the team that owns the key. Open addressing over typed arrays:
 * 20 bytes a slot and no JavaScript object a key. The first word of a hash is random and serves as the table's hash.
 *
 * @internal
 */
export class KeyTable {
  private words: Uint32Array
  /** Row of the team plus one; 0 is a free slot. */
  private rows: Uint32Array
  private count = 0
  private readonly probe = new Uint32Array(WORDS)

  /** @param entries - keys to make room for */
  constructor (entries: number) {
    const slots = slotsFor(entries)
    this.words = new Uint32Array(slots * WORDS)
    this.rows = new Uint32Array(slots)
  }

  /**
   * @param hex - hash in hex; digits after the first 128 bits do not count
   * @returns the row of the team, or undefined
   */
  find (hex: string): number | undefined {
    if (!this.load(hex)) return undefined
    const row = this.rows[this.locate()]!
    return row === 0 ? undefined : row - 1
  }

  /**
   * @param hash - a key
   * @param row - row of its team
   */
  set (hash: DeclaredKeyHash, row: number): void {
    this.loadDeclared(hash)
    let slot = this.locate()
    if (this.rows[slot] === 0) {
      if (isFull(this.count, this.rows.length)) {
        this.grow()
        this.loadDeclared(hash)
        slot = this.locate()
      }
      this.words.set(this.probe, slot * WORDS)
      this.count += 1
    }
    this.rows[slot] = row + 1
  }

  /** @param hash - a key; nothing happens if it is not in the table */
  delete (hash: DeclaredKeyHash): void {
    this.loadDeclared(hash)
    const slot = this.locate()
    if (this.rows[slot] === 0) return
    this.count -= 1
    this.fillHole(slot)
  }

  /** @returns all keys with the rows of their teams */
  * entries (): Generator<readonly [DeclaredKeyHash, number]> {
    for (const [slot, row] of this.rows.entries()) {
      if (row === 0) continue
      const words = Array.from(this.words.subarray(slot * WORDS, (slot + 1) * WORDS))
      const hex = words.map((word) => word.toString(16).padStart(HEX_DIGITS_PER_WORD, '0')).join('')
      yield [`${HASH_PREFIX}${hex}` as DeclaredKeyHash, row - 1]
    }
  }

  private loadDeclared (hash: DeclaredKeyHash): void {
    if (!this.load(hash.slice(HASH_PREFIX.length))) throw new RangeError('the hash of a key is malformed')
  }

  private load (hex: string): boolean {
    for (let word = 0; word < WORDS; word++) {
      let value = 0
      for (let at = word * HEX_DIGITS_PER_WORD; at < (word + 1) * HEX_DIGITS_PER_WORD; at++) {
        const digit = DIGIT_VALUES[hex.charCodeAt(at)] ?? NO_DIGIT
        if (digit === NO_DIGIT) return false
        value = (value << 4) | digit
      }
      this.probe[word] = value
    }
    return true
  }

  /** Finds the slot of the loaded hash, or the free slot where it belongs. */
  private locate (): number {
    const { words, rows, probe } = this
    const mask = rows.length - 1
    let slot = probe[0]! & mask
    while (rows[slot] !== 0) {
      const at = slot * WORDS
      if (words[at] === probe[0] && words[at + 1] === probe[1] &&
        words[at + 2] === probe[2] && words[at + 3] === probe[3]) return slot
      slot = (slot + 1) & mask
    }
    return slot
  }

  private fillHole (start: number): void {
    const { words, rows } = this
    const mask = rows.length - 1
    let hole = start
    for (let at = (hole + 1) & mask; rows[at] !== 0; at = (at + 1) & mask) {
      if (!canFill({ home: words[at * WORDS]! & mask, at, hole, mask })) continue
      words.copyWithin(hole * WORDS, at * WORDS, (at + 1) * WORDS)
      rows[hole] = rows[at]!
      hole = at
    }
    rows[hole] = 0
  }

  private grow (): void {
    const [words, rows] = [this.words, this.rows]
    this.words = new Uint32Array(words.length * 2)
    this.rows = new Uint32Array(rows.length * 2)
    for (const [old, row] of rows.entries()) {
      if (row === 0) continue
      this.probe.set(words.subarray(old * WORDS, (old + 1) * WORDS))
      const slot = this.locate()
      this.words.set(this.probe, slot * WORDS)
      this.rows[slot] = row
    }
  }
}
