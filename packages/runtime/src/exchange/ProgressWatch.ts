import type { FailureReason } from '@lavenderturn/decisions'
import type { ProbeReport } from './probeAddress'

/** Silence after which an exchange is looked into for the first time. */
const FIRST_CHECK_MS = 500

/** Longest time between two checks of an exchange that is slow but alive. */
const LONGEST_CHECK_MS = 4_000

/** Time that bytes on the way get to arrive after the other side said that it does nothing for the attempt. */
const CONFIRM_MS = 100

/** Probes in a row that a server must miss until it counts as gone. */
const UNREACHABLE_LIMIT = 2

/** @internal */
export interface ProgressWatchOptions {
  /** Counts the bytes that the connection has moved in either direction. */
  readonly countBytes: () => number
  /** Tells whether this side has stopped the transfer, so that silence says nothing of the connection. */
  readonly isHeldHere: () => boolean
  /** Asks the server over a fresh connection. */
  readonly probe: () => Promise<ProbeReport>
  /** Silence that a server gets which answers probes without telling of the attempt. */
  readonly silentAfterMs: number
  readonly firstCheckMs?: number
  readonly confirmMs?: number
  /** Gets the verdict, once. */
  readonly onVerdict: (reason: FailureReason) => void
}

/**
 * Finds connections that went silent for good. Silence alone is no fault, because a slow request is silent too: the
 * verdict needs the answer to a probe on a fresh connection.
 *
 * @internal
 */
export class ProgressWatch {
  private timer: NodeJS.Timeout | undefined
  private stopped = false
  private bytes = 0
  private movedAt = performance.now()
  private delayMs: number
  private idleReports = 0
  private unreachableReports = 0

  constructor (private readonly options: ProgressWatchOptions) {
    this.delayMs = this.firstCheckMs
    this.schedule(this.delayMs)
  }

  /** Ends the watch without a verdict. */
  stop (): void {
    this.stopped = true
    clearTimeout(this.timer)
  }

  private get firstCheckMs (): number {
    return this.options.firstCheckMs ?? FIRST_CHECK_MS
  }

  private schedule (delayMs: number): void {
    this.timer = setTimeout(() => { void this.check() }, delayMs)
  }

  private async check (): Promise<void> {
    if (this.hasMoved()) return this.restart()
    const report = await this.options.probe()
    if (this.stopped) return
    if (this.hasMoved()) return this.restart()
    this.weigh(report)
  }

  private hasMoved (): boolean {
    return this.options.isHeldHere() || this.options.countBytes() !== this.bytes
  }

  private restart (): void {
    this.bytes = this.options.countBytes()
    this.movedAt = performance.now()
    this.idleReports = this.unreachableReports = 0
    this.delayMs = this.firstCheckMs
    this.schedule(this.delayMs)
  }

  private weigh ({ kind }: ProbeReport): void {
    // Both sides wait for the connection.
    const isIdle = kind === 'closed' || kind === 'stalled'
    this.idleReports = isIdle ? this.idleReports + 1 : 0
    const isUnreachable = kind === 'unreachable' || kind === 'refused'
    this.unreachableReports = isUnreachable ? this.unreachableReports + 1 : 0
    if (isIdle && this.idleReports > 1) return this.decide('silent')
    if (isUnreachable && this.unreachableReports >= UNREACHABLE_LIMIT) return this.decide('timeout')
    if (kind === 'alive' && performance.now() - this.movedAt >= this.options.silentAfterMs) return this.decide('silent')
    this.delayMs = Math.min(this.delayMs * 2, LONGEST_CHECK_MS)
    this.schedule(this.pickDelay(kind))
  }

  private pickDelay (kind: ProbeReport['kind']): number {
    if (kind === 'closed' || kind === 'stalled') return this.options.confirmMs ?? CONFIRM_MS
    if (kind !== 'alive') return this.delayMs
    const left = this.options.silentAfterMs - (performance.now() - this.movedAt)
    return Math.max(1, Math.min(this.delayMs, Math.ceil(left)))
  }

  private decide (reason: FailureReason): void {
    this.stop()
    this.options.onVerdict(reason)
  }
}
