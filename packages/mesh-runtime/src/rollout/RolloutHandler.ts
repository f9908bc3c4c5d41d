import type { MeshEffect, RolloutRecord } from '@lavenderturn/mesh'
import type { ConsolaInstance } from 'consola'
import { setTimeout as pause } from 'node:timers/promises'
import { Backoff } from '../Backoff'
import { callWithTimeout } from '../callWithTimeout'
import { MeshEffectHandler, type MeshRuntime } from '../MeshRuntime'
import type { RolloutRegistry } from './RolloutRegistry'

/** Shorter than the time after which the reducer counts a write as failed. */
const CALL_TIMEOUT_MS = 1_500

/** Delays after failed readings. */
const BACKOFF_OPTIONS = { initialDelayMs: 200, maxDelayMs: 1_000 }

/** @internal */
export interface RolloutHandlerOptions {
  readonly runtime: MeshRuntime
  /** Absent if no versions are rolled out. */
  readonly registry: RolloutRegistry | undefined
  readonly log: ConsolaInstance
}

/** Reads and writes the records of roll-outs. @internal */
export class RolloutHandler extends MeshEffectHandler {
  override readonly slices = ['rollout'] as const
  private readonly options: RolloutHandlerOptions
  private readonly backoff = new Backoff(BACKOFF_OPTIONS)
  private isReading = false
  private stopped = false

  constructor (options: RolloutHandlerOptions) {
    super()
    this.options = options
  }

  override run (effect: MeshEffect): void {
    const { registry } = this.options
    if (effect.slice !== 'rollout' || registry === undefined) return
    if (effect.type === 'readRecords') void this.read(registry)
    else void this.write(registry, effect.record, effect.expectedVersion)
  }

  override stop (): void {
    this.stopped = true
  }

  /** Reads until the store responds: without the records, a new version gets no requests. */
  private async read (registry: RolloutRegistry): Promise<void> {
    if (this.isReading) return
    this.isReading = true
    const { runtime, log } = this.options
    while (!this.stopped) {
      try {
        const { stored, era } = await callWithTimeout(CALL_TIMEOUT_MS, async (signal) => await registry.list(signal))
        this.backoff.reset()
        this.isReading = false
        runtime.enqueue({ slice: 'rollout', type: 'recordsRead', stored, era })
        return
      } catch (err) {
        log.warn('roll-out records not read', { error: String(err) })
        await pause(this.backoff.nextDelayMs())
      }
    }
  }

  private async write (registry: RolloutRegistry, record: RolloutRecord, expectedVersion: number): Promise<void> {
    const { runtime } = this.options
    try {
      const result = await callWithTimeout(CALL_TIMEOUT_MS, async (signal) => {
        return await registry.write(record, expectedVersion, signal)
      })
      if (result.kind === 'applied') {
        runtime.enqueue({ slice: 'rollout', type: 'recordWritten', record, position: result.position })
      } else {
        runtime.enqueue({ slice: 'rollout', type: 'recordRejected', stored: result.stored, era: result.era })
      }
    } catch (err) {
      runtime.enqueue({ slice: 'rollout', type: 'recordNotWritten', record, reason: String(err) })
    }
  }
}
