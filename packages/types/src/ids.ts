/**
 * Branded types for ids and units. A brand exists only at compile time: it prevents passing an id of one kind where
 * another kind is expected, without any cost at run time.
 */

declare const brand: unique symbol

/** @public */
export type Branded<Value, Brand extends string> = Value & { readonly [brand]: Brand }

/** A `lavenderturn-node` process. It gets a new id when it restarts. @public */
export type NodeId = Branded<string, 'NodeId'>
/** A customer with API keys, a rate limit and a burst limit. @public */
export type TeamId = Branded<string, 'TeamId'>
/** @public */
export type RouteId = Branded<string, 'RouteId'>
/** @public */
export type ServiceId = Branded<string, 'ServiceId'>
/** An address at which one backend server serves one service. @public */
export type EndpointId = Branded<string, 'EndpointId'>
/** @public */
export type DataCentreId = Branded<string, 'DataCentreId'>
/** @public */
export type RegionId = Branded<string, 'RegionId'>
/** Unit over which a team's rate is divided: a data centre, or a region if there are several regions. @public */
export type DomainId = Branded<string, 'DomainId'>
/** A partition of the hash space of team and service ids, in `[0, PARTITION_COUNT)`. @public */
export type PartitionId = Branded<number, 'PartitionId'>
/** A request as received by one gateway. @public */
export type RequestId = Branded<string, 'RequestId'>
/** An attempt to run a request at one endpoint. @public */
export type AttemptId = Branded<string, 'AttemptId'>
/** A grant of part of a team's rate to one gateway. @public */
export type GrantId = Branded<string, 'GrantId'>
/** SHA-256 of a caller's key in hex. The key itself is never stored. @public */
export type KeyHash = Branded<string, 'KeyHash'>
/** A caller's idempotency key. @public */
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>
/** Hash of a caller's idempotency key, with a fixed size regardless of the length of the key. @public */
export type KeyDigest = Branded<string, 'KeyDigest'>
/** Hash of a request's team, method, target and the beginning of its body. @public */
export type Fingerprint = Branded<string, 'Fingerprint'>
/** SHA-256 of an object in the object store, in hex. @public */
export type Digest = Branded<string, 'Digest'>
/** Revision number of the control document. It only increases. @public */
export type Revision = Branded<number, 'Revision'>
/** Identifies an attempt to update the head row and the node that makes it. @public */
export type WriterToken = Branded<string, 'WriterToken'>
/** A fetch of a delta or snapshot. @public */
export type FetchId = Branded<string, 'FetchId'>
/** Identifies a run of a backend server process. It changes when the process restarts. @public */
export type BootId = Branded<string, 'BootId'>
/** Version of the software of a backend server. @public */
export type ServerVersion = Branded<string, 'ServerVersion'>
/** Identifies a timer that the reducer set. @public */
export type TimerId = Branded<string, 'TimerId'>
/** A network address of the form `host:port`. @public */
export type Address = Branded<string, 'Address'>
/** Correlates a call from another node with the response that the reducer produces. @public */
export type CallId = Branded<string, 'CallId'>
/** Milliseconds: a duration, or a point in time on the monotonic clock of one process. @public */
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
 * Advances a revision number.
 *
 * @param revision - a revision
 * @param count - number of revisions to add
 * @returns the later revision
 * @public
 */
export function addRevision (revision: Revision, count: number): Revision {
  return (revision + count) as Revision
}
