import type {
  EventBody, HeadRow, HeadWriteResult, RuntimeEffect, PlatformEffect, ReadDelta, ReadHead, ReadSnapshot, StoreObjects,
  WriteHead
} from '@lavenderturn/decisions'
import { ConditionFailedError, RejectedError, UnreachableError } from '@lavenderturn/platform'
import type { Digest } from '@lavenderturn/types'
import { readDeltaObject, readSnapshotObject, writeDeltaObject, writeSnapshotObject } from '@lavenderturn/wire'
import { EffectHandler } from '../EffectHandler'
import type { Runtime } from '../Runtime'
import type { PlatformStores } from './PlatformStores'

/** Key of the head row. */
const HEAD_KEY = { partition: 'control', sort: 'head' } as const

/** @public */
export interface PlatformHandlerOptions {
  readonly runtime: Runtime
  /** Without stores, every call fails as if the store were down. */
  readonly stores?: PlatformStores
}

/** Calls the table service and the object store. @public */
export class PlatformHandler extends EffectHandler {
  override readonly slices = ['platform'] as const
  private readonly runtime: Runtime
  private readonly stores: PlatformStores | undefined

  constructor ({ runtime, stores }: PlatformHandlerOptions) {
    super()
    this.runtime = runtime
    this.stores = stores
  }

  override run (effect: RuntimeEffect): void {
    if (effect.slice === 'platform') void this.perform(effect)
  }

  override async stop (): Promise<void> {
    await Promise.all([this.stores?.table.close(), this.stores?.objects.close()])
  }

  private async perform (effect: PlatformEffect): Promise<void> {
    let event: EventBody | undefined
    try {
      if (this.stores === undefined) throw new UnreachableError('no platform is configured')
      event = await runEffect(effect, this.stores, () => this.runtime.clock.now())
    } catch (err) {
      event = createFailureEvent(effect, err)
    }
    if (event !== undefined) this.runtime.enqueue(event)
  }
}

async function runEffect (effect: PlatformEffect, stores: PlatformStores, now: () => number): Promise<EventBody> {
  switch (effect.type) {
    case 'readHead': return await readHead(effect, stores)
    case 'writeHead': return await writeHead(effect, stores, now)
    case 'storeObjects': return await storeObjects(effect, stores)
    case 'readDelta': return await readDelta(effect, stores)
    case 'readSnapshot': return await readSnapshot(effect, stores)
  }
}

/** Creates the event that reports a failed effect; failed reads of the head are not reported. */
function createFailureEvent (effect: PlatformEffect, err: unknown): EventBody | undefined {
  switch (effect.type) {
    case 'readHead': return undefined
    case 'writeHead': return {
      slice: 'control', type: 'headWritten', token: effect.head.token, result: classifyWriteError(err)
    }
    case 'storeObjects': return { slice: 'control', type: 'objectsFailed', token: effect.token }
    case 'readDelta':
    case 'readSnapshot': return { slice: 'control', type: 'fetchFailed', fetchId: effect.fetchId }
  }
}

/** Returns `unknown` for errors after which the row may have been written. */
function classifyWriteError (err: unknown): HeadWriteResult {
  if (err instanceof ConditionFailedError) return 'conditionFailed'
  return err instanceof UnreachableError || err instanceof RejectedError ? 'notWritten' : 'unknown'
}

async function readHead ({ askedAt }: ReadHead, { table }: PlatformStores): Promise<EventBody> {
  const row = await table.get(HEAD_KEY)
  const head: HeadRow | undefined = row && JSON.parse(row.value)
  return { slice: 'control', type: 'headRead', askedAt, head }
}

async function writeHead (
  { expected, head, notAfter }: WriteHead, { table }: PlatformStores, now: () => number
): Promise<EventBody> {
  if (now() > notAfter) throw new UnreachableError('the majority proof has expired')
  await table.put(
    { ...HEAD_KEY, version: head.revision, value: JSON.stringify(head) },
    { expected: expected === 0 ? 'absent' : expected }
  )
  return { slice: 'control', type: 'headWritten', token: head.token, result: 'written' }
}

async function storeObjects (
  { token, snapshot, delta }: StoreObjects, { objects }: PlatformStores
): Promise<EventBody> {
  const [snapshotDigest, deltaDigest] = await Promise.all([
    objects.put(writeSnapshotObject(snapshot)), objects.put(writeDeltaObject(delta))
  ])
  return { slice: 'control', type: 'objectsStored', token, snapshot: snapshotDigest, delta: deltaDigest }
}

async function readDelta ({ fetchId, digest }: ReadDelta, stores: PlatformStores): Promise<EventBody> {
  const delta = readDeltaObject(await readObject(digest, stores))
  return { slice: 'control', type: 'deltasFetched', fetchId, revision: delta.revision, deltas: [delta] }
}

async function readSnapshot ({ fetchId, digest }: ReadSnapshot, stores: PlatformStores): Promise<EventBody> {
  const snapshot = readSnapshotObject(await readObject(digest, stores))
  return { slice: 'control', type: 'snapshotFetched', fetchId, snapshot }
}

async function readObject (digest: Digest, { objects }: PlatformStores): Promise<Uint8Array> {
  const bytes = await objects.get(digest)
  if (bytes === undefined) throw new RejectedError(`object ${digest} does not exist`)
  return bytes
}
