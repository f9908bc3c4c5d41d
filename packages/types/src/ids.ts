/**
 * Branded identifiers. A brand exists only at compile time: it stops an id of one kind from being passed where
 * another kind is expected, and costs nothing at run time.
 */

declare const brand: unique symbol

/** @public */
export type Branded<Value, Brand extends string> = Value & { readonly [brand]: Brand }

/** One `lavenderturn-node` process; a restart gets a new id. @public */
export type NodeId = Branded<string, 'NodeId'>
/** A customer that owns keys, a rate and a burst. @public */
export type TeamId = Branded<string, 'TeamId'>
/** @public */
export type RouteId = Branded<string, 'RouteId'>
/** @public */
export type ServiceId = Branded<string, 'ServiceId'>
/** One address of one service, served by one backend server. @public */
export type EndpointId = Branded<string, 'EndpointId'>
/** @public */
export type DataCentreId = Branded<string, 'DataCentreId'>
/** @public */
export type RegionId = Branded<string, 'RegionId'>
/** The unit over which a team's rate is divided: a data centre, or a region where there are several. @public */
export type DomainId = Branded<string, 'DomainId'>
/** A slice of the teams by hash, in `[0, PARTITION_COUNT)`. @public */
export type PartitionId = Branded<number, 'PartitionId'>
/** One arrival of a request at a gateway. @public */
export type RequestId = Branded<string, 'RequestId'>
/** One attempt to run a request at one endpoint. @public */
export type AttemptId = Branded<string, 'AttemptId'>
/** A grant of part of a team's rate to one gateway. @public */
export type GrantId = Branded<string, 'GrantId'>
/** Hex SHA-256 of a caller's key; the key itself is never kept. @public */
export type KeyHash = Branded<string, 'KeyHash'>
/** A caller's idempotency key. @public */
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>
/** Hash of a team's idempotency key, of fixed size whatever the caller sent. @public */
export type KeyDigest = Branded<string, 'KeyDigest'>
/** Hash of team, method, target and the first part of the body. @public */
export type Fingerprint = Branded<string, 'Fingerprint'>
/** Hex SHA-256 of an object in the object store. @public */
export type Digest = Branded<string, 'Digest'>
/** Revision of the control document; only rises. @public */
export type Revision = Branded<number, 'Revision'>
/** Identifies one attempt to change the head row, and its writer. @public */
export type WriterToken = Branded<string, 'WriterToken'>
/** One fetch of a delta or snapshot. @public */
export type FetchId = Branded<string, 'FetchId'>
/** Identifies one life of a backend server process. @public */
export type BootId = Branded<string, 'BootId'>
/** Identifies a timer of the reducer. @public */
export type TimerId = Branded<string, 'TimerId'>
/** `host:port`. @public */
export type Address = Branded<string, 'Address'>
/** Correlates a call of another node with the answer that the reducer gives. @public */
export type CallId = Branded<string, 'CallId'>
/** Milliseconds: a duration, or a point on the monotonic clock of one process. @public */
export type Millis = Branded<number, 'Millis'>

/**
 * Brands a raw value.
 *
 * @param value - the raw string or number
 * @returns the same value, branded
 * @public
 */
export function toId<Id extends Branded<string | number, string> | undefined> (value: string | number): Id {
  return value as Id
}

/**
 * Brands a number of milliseconds.
 *
 * @param value - milliseconds
 * @returns the same number, branded
 * @public
 */
export function millis (value: number): Millis {
  return value as Millis
}

/**
 * Adds a duration to a point in time or to another duration.
 *
 * @param at - milliseconds
 * @param duration - milliseconds
 * @returns their sum
 * @public
 */
export function addMillis (at: Millis, duration: Millis): Millis {
  return (at + duration) as Millis
}

/**
 * Counts on from a revision.
 *
 * @param revision - a revision
 * @param count - how many revisions later
 * @returns the later revision
 * @public
 */
export function addRevision (revision: Revision, count: number): Revision {
  return (revision + count) as Revision
}
