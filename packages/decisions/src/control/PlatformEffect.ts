import type { Digest, FetchId, Millis, Revision, WriterToken } from '@lavenderturn/types'
import type { ControlDelta, ControlSnapshot, HeadRow } from './HeadRow'

interface PlatformEffectBase {
  readonly slice: 'platform'
}

/** Reads the head row. The result arrives as `headRead`; a failure is not reported. @public */
export interface ReadHead extends PlatformEffectBase {
  readonly type: 'readHead'
  readonly askedAt: Millis
}

/** Writes the head row by compare-and-set. Ends with `headWritten`. @public */
export interface WriteHead extends PlatformEffectBase {
  readonly type: 'writeHead'
  /** The revision that the row must have before the write; 0 if the row must be absent. */
  readonly expected: Revision
  readonly head: HeadRow
  /** Latest time at which the write may be sent; afterwards the proof of a majority is too old. */
  readonly notAfter: Millis
}

/** Stores the snapshot and the delta of a write. Ends with `objectsStored` or `objectsFailed`. @public */
export interface StoreObjects extends PlatformEffectBase {
  readonly type: 'storeObjects'
  readonly token: WriterToken
  readonly snapshot: ControlSnapshot
  readonly delta: ControlDelta
}

/** Reads a delta from the object store. Ends with `deltasFetched` or `fetchFailed`. @public */
export interface ReadDelta extends PlatformEffectBase {
  readonly type: 'readDelta'
  readonly fetchId: FetchId
  readonly digest: Digest
}

/** Reads a snapshot from the object store. Ends with `snapshotFetched` or `fetchFailed`. @public */
export interface ReadSnapshot extends PlatformEffectBase {
  readonly type: 'readSnapshot'
  readonly fetchId: FetchId
  readonly digest: Digest
}

/** @public */
export type PlatformEffect = ReadDelta | ReadHead | ReadSnapshot | StoreObjects | WriteHead
