import { type TeamId, toId } from '@lavenderturn/types'
import type { TeamEntry } from '../ControlDocument'
import { hashText } from './hashText'
import { canFill, isFull, slotsFor } from './slots'
import { TextBuffer } from './TextBuffer'

/** Bytes reserved for an id that is not known yet. */
const USUAL_ID_BYTES = 16

/**
 * Teams as rows of typed arrays, with their ids in one text buffer. A row number stays with its team until the team is
 * removed, so other tables refer to teams by row.
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
  /** Row plus one; 0 is a free slot. */
  private index: Uint32Array
  private rowsUsed = 0
  private count = 0
  private readonly freeRows: number[] = []

  /** @param teams - ids to make room for */
  constructor (teams: readonly TeamEntry[]) {
    const slots = slotsFor(teams.length)
    const rows = rowsFor(slots)
    const textBytes = teams.reduce((sum, { id }) => sum + id.length, 0)
    this.texts = new TextBuffer(textBytes + (rows - teams.length) * USUAL_ID_BYTES)
    this.index = new Uint32Array(slots)
    this.offsets = new Uint32Array(rows)
    this.lengths = new Uint8Array(rows)
    this.rates = new Float64Array(rows)
    this.bursts = new Float64Array(rows)
    this.keyCounts = new Uint32Array(rows)
    for (const team of teams) this.set(team)
  }

  /**
   * @param id - a team
   * @returns its row, or undefined
   */
  findRow (id: string): number | undefined {
    const row = this.index[this.locate(id)]!
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

  /** @param team - a new team, or new values of one */
  set (team: TeamEntry): void {
    const row = this.findRow(team.id) ?? this.add(team.id)
    this.rates[row] = team.ratePerSecond
    this.bursts[row] = team.burst
  }

  /** @param id - a team without keys; nothing happens if it is not in the table */
  delete (id: TeamId): void {
    const slot = this.locate(id)
    if (this.index[slot] === 0) return
    const row = this.index[slot]! - 1
    this.freeRows.push(row)
    this.lengths[row] = 0
    this.count -= 1
    this.fillHole(slot)
  }

  /**
   * @param row - row of a team
   * @returns how many keys the team has
   */
  countKeys (row: number): number {
    return this.keyCounts[row]!
  }

  /**
   * @param row - row of a team
   * @param change - keys that were added or, below 0, removed
   */
  adjustKeys (row: number, change: number): void {
    this.keyCounts[row]! += change
  }

  /** @returns all teams */
  * entries (): Generator<TeamEntry> {
    for (let row = 0; row < this.rowsUsed; row++) {
      if (this.lengths[row] !== 0) yield this.read(row)
    }
  }

  private add (id: TeamId): number {
    if (isFull(this.count, this.index.length)) this.grow()
    if (this.texts.length + id.length > this.texts.capacity) this.compactTexts(id.length)
    const row = this.freeRows.pop() ?? this.rowsUsed++
    this.offsets[row] = this.texts.add(id)
    this.lengths[row] = id.length
    this.keyCounts[row] = 0
    this.index[this.locate(id)] = row + 1
    this.count += 1
    return row
  }

  /** Finds the slot of an id, or the free slot where it belongs. */
  private locate (id: string): number {
    const mask = this.index.length - 1
    let slot = hashText(id) & mask
    for (let row = this.index[slot]!; row !== 0; row = this.index[slot]!) {
      if (this.texts.equals(this.offsets[row - 1]!, this.lengths[row - 1]!, id)) return slot
      slot = (slot + 1) & mask
    }
    return slot
  }

  private fillHole (start: number): void {
    const { index } = this
    const mask = index.length - 1
    let hole = start
    for (let at = (hole + 1) & mask; index[at] !== 0; at = (at + 1) & mask) {
      const home = hashText(this.readId(index[at]! - 1)) & mask
      if (!canFill({ home, at, hole, mask })) continue
      index[hole] = index[at]!
      hole = at
    }
    index[hole] = 0
  }

  private grow (): void {
    const slots = this.index.length * 2
    const rows = rowsFor(slots)
    this.offsets = copyInto(new Uint32Array(rows), this.offsets)
    this.lengths = copyInto(new Uint8Array(rows), this.lengths)
    this.rates = copyInto(new Float64Array(rows), this.rates)
    this.bursts = copyInto(new Float64Array(rows), this.bursts)
    this.keyCounts = copyInto(new Uint32Array(rows), this.keyCounts)
    this.index = new Uint32Array(slots)
    for (let row = 0; row < this.rowsUsed; row++) {
      if (this.lengths[row] !== 0) this.index[this.locate(this.readId(row))] = row + 1
    }
  }

  /** Moves the texts to a new buffer without the holes of removed teams. */
  private compactTexts (needed: number): void {
    let live = 0
    for (let row = 0; row < this.rowsUsed; row++) live += this.lengths[row]!
    const texts = new TextBuffer(live + needed + this.offsets.length * USUAL_ID_BYTES / 4)
    for (let row = 0; row < this.rowsUsed; row++) {
      if (this.lengths[row] !== 0) this.offsets[row] = texts.add(this.readId(row))
    }
    this.texts = texts
  }
}

/** A table never holds more teams than `isFull` lets it. */
function rowsFor (slots: number): number {
  return Math.ceil(slots * 0.75)
}

function copyInto<Values extends { set: (from: Values) => void }> (target: Values, from: Values): Values {
  target.set(from)
  return target
}
