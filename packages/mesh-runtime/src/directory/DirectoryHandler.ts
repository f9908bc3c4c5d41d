import type { MemberRecord, MeshEffect } from '@lavenderturn/mesh'
import type { ConsolaInstance } from 'consola'
import { setTimeout as pause } from 'node:timers/promises'
import { Backoff } from '../Backoff'
import { Deadline } from '../Deadline'
import { MeshEffectHandler, type MeshRuntime } from '../MeshRuntime'
import type { MemberRegistry } from './MemberRegistry'

/** Time for one call to the registry. */
const CALL_TIMEOUT_MS = 1_500

/** Pauses after failed calls; nodes are to find each other within two seconds of the store's return. */
const BACKOFF = { firstMs: 100, longestMs: 1_000 }

/** @internal */
export interface DirectoryHandlerOptions {
  readonly runtime: MeshRuntime
  readonly registry: MemberRegistry
  readonly log: ConsolaInstance
}

/**
 * Writes this node's record and reads those of the others, in this order: of any two nodes, the one that writes later
 * finds the record of the other.
 *
 * @internal
 */
export class DirectoryHandler extends MeshEffectHandler {
  override readonly slices = ['directory'] as const
  private readonly options: DirectoryHandlerOptions
  private readonly backoff = new Backoff(BACKOFF)
  private syncing = false
  private stopped = false

  constructor (options: DirectoryHandlerOptions) {
    super()
    this.options = options
  }

  override run (effect: MeshEffect): void {
    if (effect.slice !== 'directory') return
    if (effect.type === 'syncRegistry') void this.sync(effect.own)
    else void this.remove(effect.node)
  }

  override stop (): void {
    this.stopped = true
  }

  private async sync (own: MemberRecord): Promise<void> {
    if (this.syncing) return
    this.syncing = true
    const { registry, runtime, log } = this.options
    while (!this.stopped) {
      try {
        await callWithin(async (signal) => { await registry.write(own, signal) })
        const records = await callWithin(async (signal) => await registry.list(signal))
        this.backoff.reset()
        this.syncing = false
        runtime.tell({ slice: 'directory', type: 'registryRead', records })
        return
      } catch (err) {
        log.warn('registry does not answer', { error: String(err) })
        await pause(this.backoff.next())
      }
    }
  }

  private async remove (node: MemberRecord['node']): Promise<void> {
    try {
      await callWithin(async (signal) => { await this.options.registry.remove(node, signal) })
    } catch (err) {
      // The record of a node that does not answer does no harm: nobody sends it anything.
      this.options.log.warn('record not removed', { error: String(err) })
    }
  }
}

async function callWithin<Result> (call: (signal: AbortSignal) => Promise<Result>): Promise<Result> {
  const deadline = new Deadline(CALL_TIMEOUT_MS)
  try {
    return await call(deadline.signal)
  } finally {
    deadline.clear()
  }
}
