import { millis } from '@lavenderturn/types'
import type { ConsolaInstance } from 'consola'
import { setTimeout as pause } from 'node:timers/promises'
import { Backoff } from '../Backoff'
import { Deadline } from '../Deadline'
import type { MeshRuntime } from '../MeshRuntime'
import { AnswerClock, type CallStart } from './AnswerClock'
import type { ConfigurationSource, SourceReading } from './ConfigurationSource'

/**
 * How long a call waits for a change. A reading without a change confirms the configuration as of its end, so that
 * this time and a slow answer must fit into the time for which a confirmation lasts. Calls to the store are paid for.
 */
const FOLLOW_WAIT = millis(3_000)

/** How much longer than its wait a call may take before it is broken off; the connection may have gone silent. */
const CALL_TIMEOUT_MS = 1_000

/** Pauses after failed calls. They are short: the configuration must be back soon after the store. */
const BACKOFF = { firstMs: 100, longestMs: 800 }

/** @internal */
export interface ConfigurationFollowerOptions {
  readonly runtime: MeshRuntime
  readonly source: ConfigurationSource
  readonly log: ConsolaInstance
}

/** Reads the configuration and follows its changes. @internal */
export class ConfigurationFollower {
  private readonly options: ConfigurationFollowerOptions
  private readonly backoff = new Backoff(BACKOFF)
  private readonly stopped = new AbortController()
  private readonly answerClock = new AnswerClock()
  private cursor: number | undefined
  private reachable = true

  constructor (options: ConfigurationFollowerOptions) {
    this.options = options
  }

  /** Follows the source until `stop`. */
  async run (): Promise<void> {
    while (!this.stopped.signal.aborted) {
      try {
        await this.step()
        this.note(true)
        this.backoff.reset()
      } catch (err) {
        if (this.stopped.signal.aborted) return
        this.note(false, err)
        // A read is answered at once; a call that waits may hang again without telling anything.
        this.cursor = undefined
        await pause(this.backoff.next())
      }
    }
  }

  /** Ends `run`. */
  stop (): void {
    this.stopped.abort()
  }

  private async step (): Promise<void> {
    const start = readClocks()
    const reading = await this.call()
    if (reading === undefined) {
      this.cursor = undefined
      return
    }
    this.cursor = reading.cursor
    const { configuration, evacuated } = reading
    const confirmed = this.answerClock.locate(start, readClocks(), reading.storeTime)
    this.options.runtime.dispatch({
      slice: 'configuration', type: 'configurationRead', configuration, evacuated, confirmed
    })
  }

  private async call (): Promise<SourceReading | undefined> {
    const { source } = this.options
    const wait = this.cursor === undefined ? 0 : FOLLOW_WAIT
    const deadline = new Deadline(wait + CALL_TIMEOUT_MS, this.stopped.signal)
    try {
      if (this.cursor === undefined) return await source.read(deadline.signal)
      return await source.follow(this.cursor, FOLLOW_WAIT, deadline.signal)
    } finally {
      deadline.clear()
    }
  }

  private note (reachable: boolean, err?: unknown): void {
    if (this.reachable === reachable) return
    this.reachable = reachable
    if (reachable) this.options.log.info('configuration source answers again')
    else this.options.log.warn('configuration source does not answer', { error: String(err) })
  }
}

function readClocks (): CallStart {
  return { steadyAt: millis(performance.now()), wallAt: millis(Date.now()) }
}
