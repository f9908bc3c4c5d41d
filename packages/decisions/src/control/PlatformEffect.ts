import type { Digest, FetchId, Millis, Revision, WriterToken } from '@lavenderturn/types'
import type { ControlDelta, ControlSnapshot, HeadRow } from './HeadRow'

interface PlatformEffectBase {
  readonly slice: 'platform'
}

/** Reads the head row; reported as `headRead`, or not at all. @public */
export interface ReadHead extends PlatformEffectBase {
  readonly type: 'readHead'
  readonly askedAt: Millis
}

/** Compare-and-set of the head row; reported as `headWritten`. @public */
export interface WriteHead extends PlatformEffectBase {
  readonly type: 'writeHead'
  /** The revision that the row must have; 0: the row must be absent. */
  readonly expected: Revision
  readonly head: HeadRow
  /** The write is not sent after this time: the proof of a majority is too old then. */
  readonly notAfter: Millis
}

/** Stores the objects of a write; reported as `objectsStored` or `objectsFailed`. @public */
export interface StoreObjects extends PlatformEffectBase {
  readonly type: 'storeObjects'
  readonly token: WriterToken
  readonly snapshot: ControlSnapshot
  readonly delta: ControlDelta
}

/** Reads a delta object; reported as `deltasFetched` or `fetchFailed`. @public */
export interface ReadDelta extends PlatformEffectBase {
  readonly type: 'readDelta'
  readonly fetchId: FetchId
  readonly digest: Digest
}

/** Reads a snapshot object; reported as `snapshotFetched` or `fetchFailed`. @public */
export interface ReadSnapshot extends PlatformEffectBase {
  readonly type: 'readSnapshot'
  readonly fetchId: FetchId
  readonly digest: Digest
}

/** @public */
export type PlatformEffect = ReadDelta | ReadHead | ReadSnapshot | StoreObjects | WriteHead
