/** Service times are counted in buckets that double in width; the first one ends here. */
const FIRST_BUCKET_MS = 64

/** The last bucket has no end. */
const BUCKETS = 9

/** Results of a server's requests on one route. @public */
export interface RouteEvidence {
  failed: number
  /** Answered requests by service time. */
  readonly times: number[]
  /** Requests that are running, by the time that they have taken so far. */
  readonly running: number[]
}

/**
 * @returns evidence without results
 * @internal
 */
export function createRouteEvidence (): RouteEvidence {
  return { failed: 0, times: createBuckets(), running: createBuckets() }
}

/**
 * @returns empty buckets
 * @internal
 */
export function createBuckets (): number[] {
  return Array.from({ length: BUCKETS }, () => 0)
}

/**
 * @param elapsedMs - a service time
 * @returns the index of its bucket
 * @internal
 */
export function findBucket (elapsedMs: number): number {
  if (elapsedMs < FIRST_BUCKET_MS) return 0
  return Math.min(BUCKETS - 1, 1 + Math.floor(Math.log2(elapsedMs / FIRST_BUCKET_MS)))
}

/**
 * @param buckets - counts
 * @param limit - index of a bucket
 * @returns the sum of the buckets above it
 * @internal
 */
export function countAbove (buckets: readonly number[], limit: number): number {
  let sum = 0
  for (let index = limit + 1; index < buckets.length; index++) sum += buckets[index]!
  return sum
}
