import { type TeamId, toId } from '@lavenderturn/types'
import type { TeamEntry } from '../ControlDocument'
import { hashText } from './hashText'
import { canMoveToHole, exceedsMaxLoad, slotCountFor } from './slots'
import { TextBuffer } from './TextBuffer'

/** Bytes of text to reserve for each row that is not yet in use. */
const TYPICAL_ID_BYTES = 16

/**
 * Teams in columns of typed arrays, with their ids in one text buffer. A team keeps its row number until it is removed,
 * so other tables can refer to teams by row.
 *
 * @internal
 */
export class TeamTable {
  private texts: TextBuffer
  private offsets: Uint32Array
  private lengths: Uint8Array
  private rates: Float64Array
  private bursts: Float64Array
  private keyCounts: Uint32Array
  /** Open-addressing hash index by id. Holds the row plus one; 0 marks a free slot. */
  private index: Uint32Array
  private rowsUsed = 0
  private count = 0
  private readonly freeRows: number[] = []

  /** @param teams - initial teams */
  constructor (teams: readonly TeamEntry[]) {
    const slots = slotCountFor(teams.length)
    const rows = rowCountFor(slots)
    const textBytes = teams.reduce((sum, { id }) => sum + id.length, 0)
    this.texts = new TextBuffer(textBytes + (rows - teams.length) * TYPICAL_ID_BYTES)
    this.index = new Uint32Array(slots)
    this.offsets = new Uint32Array(rows)
    this.lengths = new Uint8Array(rows)
    this.rates = new Float64Array(rows)
    this.bursts = new Float64Array(rows)
    this.keyCounts = new Uint32Array(rows)
    for (const team of teams) this.set(team)
  }

  /**
   * Finds a team by id.
   *
   * @param id - id of the team
   * @returns the row of the team, or undefined if it is not in the table
   */
  findRow (id: string): number | undefined {
    const row = this.index[this.findSlot(id)]!
    return row === 0 ? undefined : row - 1
  }

  /**
   * @param row - row of a team
   * @returns the team's id
   */
  readId (row: number): TeamId {
    return toId(this.texts.read(this.offsets[row]!, this.lengths[row]!))
  }

  /**
   * @param row - row of a team
   * @returns the team
   */
  read (row: number): TeamEntry {
    return { id: this.readId(row), ratePerSecond: this.rates[row]!, burst: this.bursts[row]! }
  }

  /**
   * Adds a team, or replaces the team with the same id.
   *
   * @param team - the team
   */
  set (team: TeamEntry): void {
    const row = this.findRow(team.id) ?? this.add(team.id)
    this.rates[row] = team.ratePerSecond
    this.bursts[row] = team.burst
  }

  /**
   * Removes a team if it is in the table. No key may refer to its row.
   *
   * @param id - id of the team
   */
  delete (id: TeamId): void {
    const slot = this.findSlot(id)
    if (this.index[slot] === 0) return
    const row = this.index[slot]! - 1
    this.freeRows.push(row)
    this.lengths[row] = 0
    this.count -= 1
    this.closeHole(slot)
  }

  /**
   * @param row - row of a team
   * @returns the number of keys of the team
   */
  countKeys (row: number): number {
    return this.keyCounts[row]!
  }

  /**
   * Updates the number of keys of a team.
   *
   * @param row - row of the team
   * @param change - number of keys that were added, or a negative number if keys were removed
   */
  adjustKeyCount (row: number, change: number): void {
    this.keyCounts[row]! += change
  }

  /** @returns all teams */
  * entries (): Generator<TeamEntry> {
    for (let row = 0; row < this.rowsUsed; row++) {
      if (this.lengths[row] !== 0) yield this.read(row)
    }
  }

  private add (id: TeamId): number {
    if (exceedsMaxLoad(this.count, this.index.length)) this.grow()
    if (this.texts.length + id.length > this.texts.capacity) this.compactTexts(id.length)
    const row = this.freeRows.pop() ?? this.rowsUsed++
    this.offsets[row] = this.texts.add(id)
    this.lengths[row] = id.length
    this.keyCounts[row] = 0
    this.index[this.findSlot(id)] = row + 1
    this.count += 1
    return row
  }

  /** Returns the slot of an id, or the free slot where it would be inserted. */
  private findSlot (id: string): number {
    const mask = this.index.length - 1
    let slot = hashText(id) & mask
    for (let row = this.index[slot]!; row !== 0; row = this.index[slot]!) {
      if (this.texts.equals(this.offsets[row - 1]!, this.lengths[row - 1]!, id)) return slot
      slot = (slot + 1) & mask
    }
    return slot
  }

  /** Frees a slot and shifts later entries of its probe sequence back into it (backward-shift deletion). */
  private closeHole (start: number): void {
    const { index } = this
    const mask = index.length - 1
    let hole = start
    for (let at = (hole + 1) & mask; index[at] !== 0; at = (at + 1) & mask) {
      const home = hashText(this.readId(index[at]! - 1)) & mask
      if (!canMoveToHole({ home, at, hole, mask })) continue
      index[hole] = index[at]!
      hole = at
    }
    index[hole] = 0
  }

  private grow (): void {
    const slots = this.index.length * 2
    const rows = rowCountFor(slots)
    this.offsets = copyInto(new Uint32Array(rows), this.offsets)
    this.lengths = copyInto(new Uint8Array(rows), this.lengths)
    this.rates = copyInto(new Float64Array(rows), this.rates)
    this.bursts = copyInto(new Float64Array(rows), this.bursts)
    this.keyCounts = copyInto(new Uint32Array(rows), this.keyCounts)
    this.index = new Uint32Array(slots)
    for (let row = 0; row < this.rowsUsed; row++) {
      if (this.lengths[row] !== 0) this.index[this.findSlot(this.readId(row))] = row + 1
    }
  }

  /** Copies the ids to a new buffer without those of removed teams. */
  private compactTexts (neededBytes: number): void {
    let usedBytes = 0
    for (let row = 0; row < this.rowsUsed; row++) usedBytes += this.lengths[row]!
    const texts = new TextBuffer(usedBytes + neededBytes + this.offsets.length * TYPICAL_ID_BYTES / 4)
    for (let row = 0; row < this.rowsUsed; row++) {
      if (this.lengths[row] !== 0) this.offsets[row] = texts.add(this.readId(row))
    }
    this.texts = texts
  }
}

/** Returns how many rows an index with this many slots can refer to. `exceedsMaxLoad` sets the same limit. */
function rowCountFor (slots: number): number {
  return Math.ceil(slots * 0.75)
}

function copyInto<Values extends { set: (from: Values) => void }> (target: Values, from: Values): Values {
  target.set(from)
  return target
}
