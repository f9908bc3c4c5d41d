/** A team of the demo. Its key is valid only in the demo. @public */
export interface DemoTeam {
  readonly id: string
  readonly key: string
  readonly ratePerSecond: number
  readonly burst: number
}

/** Teams that send requests in the demo. */
export const DEMO_TEAMS: readonly DemoTeam[] = [
  { id: 'atlas', key: 'demo-key-atlas-4f7b2c91', ratePerSecond: 400, burst: 400 },
  { id: 'kelaniya', key: 'demo-key-kelaniya-8d03e5a6', ratePerSecond: 400, burst: 400 }
]

/** A route of the demo and the service behind it. @public */
export interface DemoRoute {
  readonly id: string
  readonly service: string
  readonly pathPrefix: string
  readonly repeatable: boolean
  readonly bodyLimitBytes: number
  readonly deadlineMs: number
}

const BYTES_PER_MIB = 1_048_576

/** Size of an upload. */
export const UPLOAD_BYTES = 4 * BYTES_PER_MIB

/** Routes that all teams may use. */
export const DEMO_ROUTES: readonly DemoRoute[] = [
  {
    id: 'lookups', service: 'stock', pathPrefix: '/stock', repeatable: true, bodyLimitBytes: 65_536, deadlineMs: 2_000
  },
  {
    id: 'reservations',
    service: 'bookings',
    pathPrefix: '/bookings',
    repeatable: false,
    bodyLimitBytes: 65_536,
    deadlineMs: 10_000
  },
  {
    id: 'uploads',
    service: 'photos',
    pathPrefix: '/photos',
    repeatable: false,
    bodyLimitBytes: 8 * BYTES_PER_MIB,
    deadlineMs: 30_000
  }
]

/** Data centres of the demo, each with one node. */
export const DEMO_DATA_CENTRES = ['dc-1', 'dc-2', 'dc-3'] as const

/** Region of all data centres. */
export const DEMO_REGION = 'region-1'
