/** What the load report endpoint returns: the true load, or a false report of an idle or busy server. @public */
export type ReportMode = 'true' | 'idle' | 'busy'

/** Faults that can be switched on while the backend server runs. Rates are in `[0, 1]`. @public */
export interface GrayModes {
  /** Multiplies the service time. */
  readonly slowFactor: number
  /** Share of requests that are answered with 500 after they ran. */
  readonly errorRate: number
  /** Alternates between healthy and failing with this period; 0 is off. */
  readonly flapPeriodMs: number
  /** Share of requests that are never run or answered, while their connection stays open. */
  readonly silentRate: number
  /** Share of responses that are truncated halfway through the body. */
  readonly truncateRate: number
  /** Share of responses without a content length, which end when the connection closes. */
  readonly closeDelimitedRate: number
  /** Share of responses that carry the id of an earlier attempt. */
  readonly crossRate: number
  /** Share of responses that are sent after the deadline. */
  readonly lateRate: number
  /** Requests whose path has this prefix crash the process while they run; empty is off. */
  readonly crashPath: string
  /** Share of requests that are rejected with 503 before they run. */
  readonly shedRate: number
  readonly report: ReportMode
  /** Age of the load figures in the load report. */
  readonly reportLagMs: number
}

/** @public */
export interface BackendConfig {
  readonly service: string
  readonly slots: number
  /** Mean service time of a warm server. */
  readonly serviceTimeMs: number
  /** Number of runs until the server is warm; with 0 it starts warm. */
  readonly warmRuns: number
  /** Factor on the service time right after the start. */
  readonly coldFactor: number
  /** Whether a cold server crashes when its open requests exceed twice the capacity that it has at the time. */
  readonly crashesWhenOverloaded: boolean
  readonly seed: number
  readonly modes: GrayModes
}

/** Modes of a server without faults. */
export const HEALTHY_MODES: GrayModes = {
  slowFactor: 1,
  errorRate: 0,
  flapPeriodMs: 0,
  silentRate: 0,
  truncateRate: 0,
  closeDelimitedRate: 0,
  crossRate: 0,
  lateRate: 0,
  crashPath: '',
  shedRate: 0,
  report: 'true',
  reportLagMs: 0
}

/**
 * Makes the configuration of a warm, healthy backend server.
 *
 * @param options - fields that differ from the defaults
 * @returns the configuration
 * @public
 */
export function makeBackendConfig (
  { modes = {}, ...options }: Partial<Omit<BackendConfig, 'modes'>> & { readonly modes?: Partial<GrayModes> } = {}
): BackendConfig {
  return {
    service: 'stock',
    slots: 4,
    serviceTimeMs: 5,
    warmRuns: 0,
    coldFactor: 10,
    crashesWhenOverloaded: false,
    seed: 1,
    ...options,
    modes: { ...HEALTHY_MODES, ...modes }
  }
}
