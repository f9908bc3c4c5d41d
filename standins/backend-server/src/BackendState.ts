import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { BackendConfig, GrayModes } from './BackendConfig'

/** One request that the backend server received. @public */
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

/** @public */
export interface LoadSample {
  readonly at: number
  readonly inFlight: number
}

/** @public */
export interface BackendState {
  readonly config: BackendConfig
  readonly random: RandomGenerator
  modes: GrayModes
  /** Makes boot ids differ from those of earlier processes at the same address. */
  readonly bootPrefix: string
  bootId: string
  phase: 'serving' | 'draining' | 'leaving' | 'dead'
  boots: number
  runsSinceBoot: number
  /** Requests that were received, by id, for tests to read; the latest `RECORD_LIMIT`. */
  readonly requests: Map<number, BackendRequest>
  inFlight: number
  mostInFlight: number
  /** Runs by idempotency key. */
  readonly runsByKey: Map<string, number>
  runs: number
  latestAttempt?: string
  readonly loadHistory: LoadSample[]
}

/** Received requests that are kept. */
export const RECORD_LIMIT = 50_000

/**
 * @param config - the configuration
 * @param bootPrefix - start of its boot ids
 * @returns the state of a server that has just started
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
