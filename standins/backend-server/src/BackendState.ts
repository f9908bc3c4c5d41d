import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { BackendConfig, GrayModes } from './BackendConfig'

/** A request that the backend server has received. @public */
export interface BackendRequest {
  readonly id: number
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly attempt?: string
  readonly idempotencyKey?: string
  readonly deadlineMs?: number
  readonly answerBytes?: number
  phase: 'receiving' | 'running' | 'muted' | 'answered' | 'cancelled' | 'shed'
  bodyBytes: number
}

/** Number of requests in flight at one time. @public */
export interface LoadSample {
  readonly at: number
  readonly inFlight: number
}

/** @public */
export interface BackendState {
  readonly config: BackendConfig
  readonly random: RandomGenerator
  modes: GrayModes
  /** Prefix that distinguishes the boot ids of this process from those of earlier processes at the same address. */
  readonly bootPrefix: string
  bootId: string
  phase: 'serving' | 'draining' | 'leaving' | 'dead'
  boots: number
  runsSinceBoot: number
  /** The latest `MAX_RECORDED_REQUESTS` received requests by id, for tests to inspect. */
  readonly requests: Map<number, BackendRequest>
  inFlight: number
  mostInFlight: number
  /** Number of runs by idempotency key. */
  readonly runsByKey: Map<string, number>
  runs: number
  latestAttempt?: string
  readonly loadHistory: LoadSample[]
}

/** Number of received requests that are kept for inspection. */
export const MAX_RECORDED_REQUESTS = 50_000

/**
 * Creates the state of a server that has just started.
 *
 * @param config - the configuration
 * @param bootPrefix - prefix of its boot ids
 * @returns the state
 * @internal
 */
export function createBackendState (config: BackendConfig, bootPrefix = 'boot'): BackendState {
  return {
    config,
    bootPrefix,
    random: xoroshiro128plus(config.seed),
    modes: config.modes,
    bootId: `${bootPrefix}-${config.seed}-1`,
    phase: 'serving',
    boots: 1,
    runsSinceBoot: 0,
    requests: new Map(),
    inFlight: 0,
    mostInFlight: 0,
    runsByKey: new Map(),
    runs: 0,
    loadHistory: []
  }
}
