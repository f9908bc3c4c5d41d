import type { Departure, MemberRecord, MeshEffect } from '@lavenderturn/mesh'
import type { NodeId } from '@lavenderturn/types'
import type { ConsolaInstance } from 'consola'
import { setTimeout as pause } from 'node:timers/promises'
import { Backoff } from '../Backoff'
import { callWithTimeout } from '../callWithTimeout'
import { MeshEffectHandler, type MeshRuntime } from '../MeshRuntime'
import type { MemberRegistry } from './MemberRegistry'

const CALL_TIMEOUT_MS = 1_500

/** Delays after failed calls; nodes must find each other within two seconds of the store's recovery. */
const BACKOFF_OPTIONS = { initialDelayMs: 100, maxDelayMs: 1_000 }

/** @internal */
export interface DirectoryHandlerOptions {
  readonly runtime: MeshRuntime
  /** This node. */
  readonly node: NodeId
  readonly registry: MemberRegistry
  readonly log: ConsolaInstance
}

/**
 * Writes this node's record, then reads those of the others. In this order, of any two nodes at least the one that
 * writes later finds the record of the other.
 *
 * @internal
 */
export class DirectoryHandler extends MeshEffectHandler {
  override readonly slices = ['directory'] as const
  private readonly options: DirectoryHandlerOptions
  private readonly backoff = new Backoff(BACKOFF_OPTIONS)
  private isSyncing = false
  private stopped = false

  constructor (options: DirectoryHandlerOptions) {
    super()
    this.options = options
  }

  override run (effect: MeshEffect): void {
    if (effect.slice !== 'directory') return
    switch (effect.type) {
      case 'syncRegistry':
        void this.syncRecords(effect.own)
        break
      case 'recordDeparture':
        void this.recordDeparture(effect.departure)
        break
      case 'dropRecord':
        void this.remove(effect.node)
    }
  }

  override stop (): void {
    this.stopped = true
  }

  private async syncRecords (own: MemberRecord): Promise<void> {
    if (this.isSyncing) return
    this.isSyncing = true
    const { registry, runtime, log } = this.options
    while (!this.stopped) {
      try {
        const { departure, era } = await callWithTimeout(CALL_TIMEOUT_MS, async (signal) => {
          return await registry.write(own, signal)
        })
        const records = await callWithTimeout(CALL_TIMEOUT_MS, async (signal) => await registry.list(signal))
        this.backoff.reset()
        this.isSyncing = false
        runtime.enqueue({ slice: 'directory', type: 'registryRead', records, departure, era })
        return
      } catch (err) {
        log.warn('registry does not answer', { error: String(err) })
        await pause(this.backoff.nextDelayMs())
      }
    }
  }

  private async recordDeparture (departure: Departure): Promise<void> {
    const { registry, runtime, node } = this.options
    try {
      await callWithTimeout(CALL_TIMEOUT_MS, async (signal) => {
        await registry.recordDeparture(node, departure, signal)
      })
      runtime.enqueue({ slice: 'admission', type: 'departureRecorded', departure })
    } catch (err) {
      runtime.enqueue({ slice: 'admission', type: 'departureNotRecorded', departure, reason: String(err) })
    }
  }

  private async remove (node: MemberRecord['node']): Promise<void> {
    try {
      await callWithTimeout(CALL_TIMEOUT_MS, async (signal) => { await this.options.registry.remove(node, signal) })
    } catch (err) {
      // A stale record is harmless: the other nodes send no requests to a node that does not respond.
      this.options.log.warn('record not removed', { error: String(err) })
    }
  }
}
