/** What the load report endpoint says. @public */
export type ReportMode = 'true' | 'idle' | 'busy'

/** Faults that can be switched on while the backend server runs. Rates are in `[0, 1]`. @public */
export interface GrayModes {
  /** Multiplies the service time. */
  readonly slowFactor: number
  /** Share of requests that are answered with 500 after they ran. */
  readonly errorRate: number
  /** Alternates between healthy and failing with this period; 0 is off. */
  readonly flapPeriodMs: number
  /** Share of requests whose connection goes silent for good, before they run. */
  readonly silentRate: number
  /** Share of answers that break off in the middle. */
  readonly truncateRate: number
  /** Share of answers that end only with the connection, without a declared length. */
  readonly closeDelimitedRate: number
  /** Share of answers that belong to an earlier attempt. */
  readonly crossRate: number
  /** Share of answers that come after the deadline. */
  readonly lateRate: number
  /** Requests whose path starts with this text crash the process while they run; empty is off. */
  readonly crashPath: string
  /** Share of requests that are shed before they run. */
  readonly shedRate: number
  readonly report: ReportMode
  /** Age of the figures in the load report. */
  readonly reportLagMs: number
}

/** @public */
export interface BackendConfig {
  readonly service: string
  readonly slots: number
  /** Mean service time of a warm server. */
  readonly serviceTimeMs: number
  /** Runs until the server is warm; 0 starts warm. */
  readonly warmRuns: number
  /** Factor of the service time right after the start. */
  readonly coldFactor: number
  /** Whether a cold server that gets more than twice what it bears dies. */
  readonly fallsOver: boolean
  readonly seed: number
  readonly modes: GrayModes
}

/** Modes of a healthy server. */
export const HEALTHY: GrayModes = {
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
    fallsOver: false,
    seed: 1,
    ...options,
    modes: { ...HEALTHY, ...modes }
  }
}
