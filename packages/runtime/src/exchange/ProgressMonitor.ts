import type { FailureReason } from '@lavenderturn/decisions'
import type { ProbeReport } from './probeAddress'

/** Time without progress until the first probe. */
const INITIAL_CHECK_DELAY_MS = 500

/** Maximum time between two checks of an exchange that is slow. */
const MAX_CHECK_DELAY_MS = 4_000

/** Time for bytes in transit to arrive after the other side reported that it is not working on the attempt. */
const IDLE_RECHECK_DELAY_MS = 100

/** Number of consecutive failed probes after which a server counts as unreachable. */
const MAX_UNREACHABLE_PROBES = 2

/** @internal */
export interface ProgressMonitorOptions {
  /** Returns the number of bytes that the connection has transferred in both directions. */
  readonly countBytes: () => number
  /** Whether this side has paused the transfer, so that a lack of progress does not indicate a broken connection. */
  readonly isPausedLocally: () => boolean
  /** Probes the server over a new connection. */
  readonly probe: () => Promise<ProbeReport>
  /** Time without progress after which a server fails that answers probes without the state of the attempt. */
  readonly silenceTimeoutMs: number
  readonly initialCheckDelayMs?: number
  readonly idleRecheckDelayMs?: number
  /** Called at most once, with the reason why the exchange has failed. */
  readonly onFailure: (reason: FailureReason) => void
}

/**
 * Detects connections that are broken without an error. A lack of progress alone is not a failure, because a slow
 * request makes no progress either: the exchange fails only on the result of a probe over a new connection.
 *
 * @internal
 */
export class ProgressMonitor {
  private timer: NodeJS.Timeout | undefined
  private stopped = false
  private lastByteCount = 0
  private lastProgressAt = performance.now()
  private delayMs: number
  private idleReports = 0
  private unreachableReports = 0

  constructor (private readonly options: ProgressMonitorOptions) {
    this.delayMs = this.initialCheckDelayMs
    this.schedule(this.delayMs)
  }

  /** Stops the monitor without a call to `onFailure`. */
  stop (): void {
    this.stopped = true
    clearTimeout(this.timer)
  }

  private get initialCheckDelayMs (): number {
    return this.options.initialCheckDelayMs ?? INITIAL_CHECK_DELAY_MS
  }

  private schedule (delayMs: number): void {
    this.timer = setTimeout(() => { void this.check() }, delayMs)
  }

  private async check (): Promise<void> {
    if (this.hasProgressed()) return this.restart()
    const report = await this.options.probe()
    if (this.stopped) return
    if (this.hasProgressed()) return this.restart()
    this.evaluateReport(report)
  }

  private hasProgressed (): boolean {
    return this.options.isPausedLocally() || this.options.countBytes() !== this.lastByteCount
  }

  private restart (): void {
    this.lastByteCount = this.options.countBytes()
    this.lastProgressAt = performance.now()
    this.idleReports = this.unreachableReports = 0
    this.delayMs = this.initialCheckDelayMs
    this.schedule(this.delayMs)
  }

  private evaluateReport ({ kind }: ProbeReport): void {
    // The other side is not working on the attempt either, so both wait for the connection.
    const isIdle = kind === 'closed' || kind === 'stalled'
    this.idleReports = isIdle ? this.idleReports + 1 : 0
    const isUnreachable = kind === 'unreachable' || kind === 'refused'
    this.unreachableReports = isUnreachable ? this.unreachableReports + 1 : 0
    if (isIdle && this.idleReports > 1) return this.fail('silent')
    if (isUnreachable && this.unreachableReports >= MAX_UNREACHABLE_PROBES) return this.fail('timeout')
    if (kind === 'alive' && performance.now() - this.lastProgressAt >= this.options.silenceTimeoutMs) return this.fail('silent')
    this.delayMs = Math.min(this.delayMs * 2, MAX_CHECK_DELAY_MS)
    this.schedule(this.computeDelay(kind))
  }

  private computeDelay (kind: ProbeReport['kind']): number {
    if (kind === 'closed' || kind === 'stalled') return this.options.idleRecheckDelayMs ?? IDLE_RECHECK_DELAY_MS
    if (kind !== 'alive') return this.delayMs
    const left = this.options.silenceTimeoutMs - (performance.now() - this.lastProgressAt)
    return Math.max(1, Math.min(this.delayMs, Math.ceil(left)))
  }

  private fail (reason: FailureReason): void {
    this.stop()
    this.options.onFailure(reason)
  }
}
