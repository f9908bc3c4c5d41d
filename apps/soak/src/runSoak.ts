import { type DataCentreId, type NodeId, toId } from '@lavenderturn/types'
import { mkdirSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import { createChecks } from './checks/createChecks'
import { makeSoakPlan } from './makeSoakPlan'
import type { PlannedAction } from './SoakAction'
import type { SoakProtocol } from './SoakProtocol'
import { createSoakState, type SoakState } from './SoakState'
import { FAULT_SPAN } from './soakTimings'
import { SoakHarness } from './harness/SoakHarness'

/** Nodes of a run and their data centres. */
const NODES: ReadonlyArray<readonly [string, string]> = [
  ['node-1', 'dc-a'], ['node-2', 'dc-b'], ['node-3', 'dc-c'], ['node-4', 'dc-a'], ['node-5', 'dc-b']
]

/** @public */
export interface SoakOptions {
  readonly seed: number
  readonly protocol: SoakProtocol
  /** Folder for logs and settings; each run uses its own subfolder. */
  readonly folder: string
  /** Overrides the plan that is generated from the seed. */
  readonly plan?: readonly PlannedAction[]
}

/** @public */
export interface SoakReport {
  readonly seed: number
  readonly plan: readonly PlannedAction[]
  readonly requests: number
  readonly answered: number
  readonly refused: number
  readonly cut: number
  /** Violations, each prefixed with the name of the check. */
  readonly violations: readonly string[]
  /** Folder with logs and settings of the nodes; removed if there are no violations. */
  readonly folder: string
}

/**
 * Executes one run with real processes and all checks.
 *
 * @param options - seed, protocol and folder
 * @returns the report
 * @throws Error if the nodes do not become ready
 * @public
 */
export async function runSoak ({ seed, protocol, folder, plan }: SoakOptions): Promise<SoakReport> {
  const nodes = NODES.map(([id, dataCentre]) => ({
    id: toId<NodeId>(id), dataCentre: toId<DataCentreId>(dataCentre)
  }))
  const state = createSoakState({
    nodes,
    plan: plan ?? makeSoakPlan({
      seed,
      span: FAULT_SPAN,
      nodes: nodes.map(({ id }) => id),
      dataCentres: [...new Set(nodes.map(({ dataCentre }) => dataCentre))]
    })
  })
  const checks = createChecks()
  const ownFolder = join(folder, `seed-${seed}`)
  mkdirSync(ownFolder, { recursive: true })
  const harness = new SoakHarness({
    state,
    protocol,
    folder: ownFolder,
    onEvent: (event) => {
      for (const check of checks) {
        for (const violation of check.checkEvent(state, event)) state.violations.push(`${check.name}: ${violation}`)
      }
    }
  })
  try {
    await harness.execute()
  } finally {
    harness.close()
  }
  for (const check of checks) {
    for (const violation of check.checkFinalState(state)) state.violations.push(`${check.name}: ${violation}`)
  }
  if (state.violations.length === 0) rmSync(ownFolder, { recursive: true })
  return summarise(state, { seed, folder: ownFolder })
}

function summarise (state: SoakState, { seed, folder }: Pick<SoakReport, 'folder' | 'seed'>): SoakReport {
  const results = [...state.requests.values()].map(({ result }) => result?.kind)
  return {
    seed,
    plan: state.plan,
    requests: results.length,
    answered: results.filter((kind) => kind === 'answer').length,
    refused: results.filter((kind) => kind === 'refusal').length,
    cut: results.filter((kind) => kind === 'cut').length,
    violations: state.violations,
    folder
  }
}
