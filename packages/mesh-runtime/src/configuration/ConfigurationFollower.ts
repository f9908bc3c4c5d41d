import { FIRST_POSITION, type StoreEra, type StorePosition } from '@lavenderturn/mesh'
import { millis } from '@lavenderturn/types'
import type { ConsolaInstance } from 'consola'
import { setTimeout as pause } from 'node:timers/promises'
import { Backoff } from '../Backoff'
import { Deadline } from '../Deadline'
import type { MeshRuntime } from '../MeshRuntime'
import type { ConfigurationReading, ConfigurationSource } from './ConfigurationSource'
import { type ClockReading, SourceClockEstimator } from './SourceClockEstimator'

/**
 * How long a call waits for a change. A reading without a change confirms the configuration as of its end, and other
 * nodes replace this one if its confirmation is not current. A shorter wait would cost more, since calls to the store
 * are billed.
 */
const FOLLOW_WAIT_MS = millis(1_000)

/** Added to the wait of a call to get its timeout, after which the connection is assumed to be silent. */
const CALL_TIMEOUT_MARGIN_MS = 1_000

/**
 * Interval between checks of the clocks during a call. After a clock was set, the configuration counts as stale until
 * it is confirmed again, and requests with keys are refused until then.
 */
const CLOCK_CHECK_INTERVAL_MS = 250

/** A call was aborted because a clock was set or stopped. @internal */
export class ClockJumpError extends Error {
  override readonly name = 'ClockMovedError'
}

/** Delays after failed calls; short, so that the configuration is confirmed soon after the store recovers. */
const BACKOFF_OPTIONS = { initialDelayMs: 100, maxDelayMs: 800 }

/** @internal */
export interface ConfigurationFollowerOptions {
  readonly runtime: MeshRuntime
  readonly source: ConfigurationSource
  readonly log: ConsolaInstance
  /** Whether to follow the source from the start; true by default. */
  readonly active?: boolean
}

/** Reads the configuration and follows its changes by long polling, while it is active. @internal */
export class ConfigurationFollower {
  private readonly options: ConfigurationFollowerOptions
  private readonly backoff = new Backoff(BACKOFF_OPTIONS)
  private readonly stopped = new AbortController()
  private readonly sourceClock = new SourceClockEstimator()
  private cursor: StorePosition | undefined
  /** Era of the latest reading. */
  private era: StoreEra = FIRST_POSITION.era
  private isReachable = true
  private isActive: boolean
  private isReadRequested = false
  private wake: (() => void) | undefined

  constructor (options: ConfigurationFollowerOptions) {
    this.options = options
    this.isActive = options.active ?? true
  }

  /** Follows the source while this is active, until `stop` is called. */
  async run (): Promise<void> {
    while (!this.stopped.signal.aborted) {
      if (!this.isActive) {
        this.cursor = undefined
        if (!this.isReadRequested) await new Promise<void>((resolve) => { this.wake = resolve })
        if (this.stopped.signal.aborted) return
      }
      this.isReadRequested = false
      try {
        await this.pollOnce()
        this.setReachable(true)
        this.backoff.reset()
      } catch (err) {
        if (this.stopped.signal.aborted) return
        // Read the full state next: a read returns immediately, while another waiting call might hang again.
        this.cursor = undefined
        if (err instanceof ClockJumpError) {
          this.options.log.info('clock was set or stood still')
          continue
        }
        this.setReachable(false, err)
        await pause(this.backoff.nextDelayMs())
      }
    }
  }

  /**
   * Starts or stops following the source. A call in progress is completed.
   *
   * @param active - whether to follow it
   */
  setActive (active: boolean): void {
    this.isActive = active
    if (active) this.wake?.()
  }

  /** Reads the source once if it is not being followed. */
  requestRead (): void {
    this.isReadRequested = true
    this.wake?.()
  }

  /** Makes `run` return. */
  stop (): void {
    this.stopped.abort()
    this.wake?.()
  }

  private async pollOnce (): Promise<void> {
    const start = readClocks()
    const reading = await this.fetchReading()
    if (reading === undefined) {
      this.cursor = undefined
      return
    }
    const { configuration, storedRevision, evacuated, rollouts, unreadable } = reading
    if (reading.cursor.era !== this.era) this.sourceClock.reset()
    this.era = reading.cursor.era
    const confirmed = this.sourceClock.estimateResponseTime(start, readClocks(), reading.storeTime)
    // Without a known clock offset, read again: the response of a long call would be dated to its start.
    this.cursor = this.sourceClock.isCalibrated ? reading.cursor : undefined
    this.options.runtime.dispatch({
      slice: 'configuration',
      type: 'configurationRead',
      configuration,
      storedRevision,
      evacuated,
      rollouts,
      unreadable,
      position: reading.cursor,
      confirmed
    })
  }

  private async fetchReading (): Promise<ConfigurationReading | undefined> {
    const { source } = this.options
    const wait = this.cursor === undefined ? 0 : FOLLOW_WAIT_MS
    const deadline = new Deadline(wait + CALL_TIMEOUT_MARGIN_MS, this.stopped.signal)
    let clockJumped = false
    const clockCheckTimer = setInterval(() => {
      clockJumped ||= this.sourceClock.hasJumped(readClocks())
      if (clockJumped) deadline.abort(new ClockJumpError('a clock was set or stopped during the call'))
    }, CLOCK_CHECK_INTERVAL_MS)
    try {
      if (this.cursor === undefined) return await source.read(deadline.signal)
      return await source.follow(this.cursor, FOLLOW_WAIT_MS, deadline.signal)
    } catch (err) {
      // The source may wrap the abort reason in its own error.
      throw clockJumped ? new ClockJumpError('a clock was set or stopped during the call', { cause: err }) : err
    } finally {
      deadline.clear()
      clearInterval(clockCheckTimer)
    }
  }

  private setReachable (reachable: boolean, err?: unknown): void {
    if (this.isReachable === reachable) return
    this.isReachable = reachable
    if (reachable) this.options.log.info('configuration source answers again')
    else this.options.log.warn('configuration source does not answer', { error: String(err) })
  }
}

function readClocks (): ClockReading {
  return { steadyAt: millis(performance.now()), wallAt: millis(Date.now()) }
}
