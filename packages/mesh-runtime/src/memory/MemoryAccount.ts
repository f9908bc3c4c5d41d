import type { MeshEffect, MemoryPurpose, ShareId, ShareStage } from '@lavenderturn/mesh'
import { toId } from '@lavenderturn/types'
import type { ConsolaInstance } from 'consola'
import { describeError } from '../describeError'
import { MeshEffectHandler, type MeshRuntime } from '../MeshRuntime'
import type { MemoryHolder } from './MemoryHolder'

/** What a share is for, and who holds its bytes. @internal */
export interface BodyShareOptions {
  readonly purpose: MemoryPurpose
  /** First stage of the body. */
  readonly stage: ShareStage
  /** Request id supplied by the caller, for logs. */
  readonly callerRequestId?: string
}

/** Reports what bodies hold to the reducer, and tells their holders what it decides. @internal */
export class MemoryAccount extends MeshEffectHandler {
  override readonly slices = ['memory'] as const
  private readonly runtime: MeshRuntime
  private readonly log: ConsolaInstance
  private readonly holders = new Map<ShareId, MemoryHolder>()
  private nextNumber = 0

  constructor ({ runtime, log }: { readonly runtime: MeshRuntime, readonly log: ConsolaInstance }) {
    super()
    this.runtime = runtime
    this.log = log
  }

  /**
   * @param options - what the share is for
   * @returns a share that holds nothing yet; it must be closed when nothing is held any more
   */
  openShare (options: BodyShareOptions): BodyShare {
    return new BodyShare(this, options)
  }

  override run (effect: MeshEffect): void {
    if (effect.slice !== 'memory') return
    if (effect.type === 'collect') {
      // Present if the program runs with `--expose-gc`.
      globalThis.gc?.()
      return
    }
    const holder = this.holders.get(effect.share)
    switch (effect.type) {
      case 'pause':
        holder?.pause()
        break
      case 'resume':
        holder?.resume()
        break
      case 'evict':
        this.holders.delete(effect.share)
        holder?.evict(effect.reason)
    }
  }

  /** An error of one body must not end the requests of others. */
  override handleError (effect: MeshEffect, err: unknown): void {
    if (effect.slice !== 'memory' || effect.type === 'collect') throw err
    this.log.error('body could not be handled', { effect: effect.type, share: effect.share, error: describeError(err) })
  }

  /**
   * @param holder - holder of the share's first bytes
   * @param options - what the share is for, and the first bytes
   * @returns the id of the share
   * @internal
   */
  register (holder: MemoryHolder, options: BodyShareOptions & { readonly bytes: number }): ShareId {
    const share = toId<ShareId>(`m${this.nextNumber++}`)
    this.holders.set(share, holder)
    const { purpose, stage, bytes, callerRequestId = '' } = options
    this.runtime.dispatch({ slice: 'memory', type: 'shareOpened', share, purpose, stage, bytes, callerRequestId })
    return share
  }

  /**
   * @param share - a share
   * @param bytes - further bytes that are held
   * @internal
   */
  hold (share: ShareId, bytes: number): void {
    this.runtime.dispatch({ slice: 'memory', type: 'bytesHeld', share, bytes })
  }

  /**
   * @param share - a share
   * @param bytes - bytes that the receiver took
   * @param areFreed - whether they are no longer held
   * @internal
   */
  take (share: ShareId, bytes: number, areFreed: boolean): void {
    this.runtime.dispatch({ slice: 'memory', type: 'bytesTaken', share, bytes, areFreed })
  }

  /**
   * @param share - a share
   * @param stage - what happens to the body now
   * @internal
   */
  enter (share: ShareId, stage: ShareStage): void {
    this.runtime.dispatch({ slice: 'memory', type: 'shareStaged', share, stage })
  }

  /**
   * @param share - a share that holds nothing any more
   * @internal
   */
  close (share: ShareId): void {
    if (this.holders.delete(share)) this.runtime.dispatch({ slice: 'memory', type: 'shareClosed', share })
  }
}

/** What one body holds. Costs no event until it holds its first byte, which most requests never do. @internal */
export class BodyShare {
  /** Does what the account decides; set before the first bytes are held. */
  holder: MemoryHolder | undefined
  private id: ShareId | undefined
  private stage: ShareStage
  private isClosed = false

  constructor (private readonly account: MemoryAccount, private readonly options: BodyShareOptions) {
    this.stage = options.stage
  }

  /** @param bytes - further bytes that are held */
  hold (bytes: number): void {
    if (this.isClosed || bytes === 0) return
    if (this.id !== undefined) this.account.hold(this.id, bytes)
    else this.id = this.account.register(this.holder!, { ...this.options, stage: this.stage, bytes })
  }

  /**
   * @param bytes - bytes that the receiver took
   * @param areFreed - whether they are no longer held
   */
  take (bytes: number, areFreed: boolean): void {
    if (this.id !== undefined && !this.isClosed) this.account.take(this.id, bytes, areFreed)
  }

  /** @param stage - what happens to the body now */
  enter (stage: ShareStage): void {
    if (this.stage === stage) return
    this.stage = stage
    if (this.id !== undefined && !this.isClosed) this.account.enter(this.id, stage)
  }

  /** Nothing is held any more. */
  close (): void {
    if (this.isClosed) return
    this.isClosed = true
    if (this.id !== undefined) this.account.close(this.id)
  }
}
