import type { NodeEvent, NodeIdentity, RuntimeEffect } from '@lavenderturn/decisions'
import { StepObserver } from '../Runtime'
import { describeRecord } from './describeRecord'
import { HybridClock } from './HybridClock'
import type { JournalPage, JournalRecord } from './JournalRecord'

/** Holds 25 s at 108 req/s and about 12 records per request; a record takes about 400 bytes. */
const DEFAULT_CAPACITY_RECORDS = 32_768

/** @public */
export interface JournalOptions {
  readonly identity: NodeIdentity
  readonly clock?: HybridClock
  /** Number of records to keep; older ones are overwritten. */
  readonly capacity?: number
}

/** Ring buffer of the latest events and effects of a node. @public */
export class Journal extends StepObserver {
  private readonly identity: NodeIdentity
  private readonly clock: HybridClock
  private readonly capacity: number
  private readonly startedAtMs = Date.now()
  private readonly ringBuffer: JournalRecord[] = []
  private nextSeq = 0

  constructor ({ identity, clock = new HybridClock(), capacity = DEFAULT_CAPACITY_RECORDS }: JournalOptions) {
    super()
    this.identity = identity
    this.clock = clock
    this.capacity = capacity
  }

  override observe (event: NodeEvent, effects: readonly RuntimeEffect[]): void {
    this.add('event', event)
    for (const effect of effects) this.add('effect', effect)
  }

  /**
   * Reads the records that have not been overwritten.
   *
   * @param after - number of the last record that the reader has read; -1 for all records
   * @returns the records, oldest first
   */
  read (after = -1): JournalPage {
    const { nodeId: node, dataCentre } = this.identity
    const firstSeq = Math.max(0, this.nextSeq - this.capacity)
    const records: JournalRecord[] = []
    for (let seq = Math.max(firstSeq, after + 1); seq < this.nextSeq; seq++) {
      records.push(this.ringBuffer[seq % this.capacity]!)
    }
    return { node, dataCentre, startedAtMs: this.startedAtMs, firstSeq, nextSeq: this.nextSeq, records }
  }

  private add (kind: JournalRecord['kind'], source: NodeEvent | RuntimeEffect): void {
    // Timers are set and cleared with each request and add no information to their events.
    if (source.slice === 'timer') return
    const seq = this.nextSeq++
    this.ringBuffer[seq % this.capacity] = { seq, time: this.clock.next(), kind, ...describeRecord(source) }
  }
}
