/** A team of the demo. Its key is made up for the demo and opens nothing else. @public */
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

const MEBIBYTE = 1_048_576

/** Bytes of one upload. */
export const UPLOAD_BYTES = 4 * MEBIBYTE

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
    bodyLimitBytes: 8 * MEBIBYTE,
    deadlineMs: 30_000
  }
]

/** Data centres of the demo, with one node each. */
export const DEMO_DATA_CENTRES = ['dc-1', 'dc-2', 'dc-3'] as const

/** Region of all of them. */
export const DEMO_REGION = 'region-1'
