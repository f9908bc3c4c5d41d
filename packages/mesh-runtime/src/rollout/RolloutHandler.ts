import type { MeshEffect, RolloutRecord } from '@lavenderturn/mesh'
import type { ConsolaInstance } from 'consola'
import { callWithTimeout } from '../callWithTimeout'
import { MeshEffectHandler, type MeshRuntime } from '../MeshRuntime'
import type { RolloutRegistry } from './RolloutRegistry'

/** Shorter than the time after which the reducer counts a write as failed. */
const CALL_TIMEOUT_MS = 1_500

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
  private isReading = false

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

  /** Reads once. The reducer asks again, because a store that refuses calls bills them all the same. */
  private async read (registry: RolloutRegistry): Promise<void> {
    if (this.isReading) return
    this.isReading = true
    const { runtime, log } = this.options
    try {
      const { stored, era } = await callWithTimeout(CALL_TIMEOUT_MS, async (signal) => await registry.list(signal))
      runtime.enqueue({ slice: 'rollout', type: 'recordsRead', stored, era })
    } catch (err) {
      log.warn('roll-out records not read', { error: String(err) })
    } finally {
      this.isReading = false
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
