import { type DataCentreId, type Millis, millis, type NodeId } from '@lavenderturn/types'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { PlannedAction, SoakAction } from './SoakAction'
import { ROLL_OUT_SPAN } from './soakTimings'

/** Number of actions in a run; a series counts as one. */
const ACTION_COUNT = { min: 6, max: 10 }

/** Probability that an action is repeated as a series. */
const SERIES_CHANCE = 0.25
const SERIES_LENGTH = 3
const SERIES_GAP_MS = 900

/** Duration of a fault; the maximum exceeds all timeouts. */
const DURATION_MS = { min: 300, max: 6_000 }

/** Largest clock skew that the product must tolerate. */
const MAX_CLOCK_STEP_MS = 5_000

/** Probability that the store is restored from a copy in a run. */
const RESTORE_CHANCE = 0.5

/** Added to the seed of a run, so that restores leave the other actions of the seed as they are. */
const RESTORE_SEED_OFFSET = 1_000_000

/** Probability that a version is rolled out in a run, and that it is bad. */
const ROLL_OUT_CHANCE = 0.5
const BAD_VERSION_CHANCE = 0.6
const BAD_VERSION_ERRORS = 0.5

/** Roll-outs take longer than other actions and begin early. */
const MAX_ROLL_OUT_START_MS = 3_000

/** Added to the seed of a run, so that roll-outs leave the other actions of the seed as they are. */
const ROLL_OUT_SEED_OFFSET = 2_000_000

/** @public */
export interface SoakPlanOptions {
  readonly seed: number
  readonly nodes: readonly NodeId[]
  readonly dataCentres: readonly DataCentreId[]
  /** Length of the interval in which actions start. */
  readonly span: Millis
}

type ActionGenerator = (random: RandomGenerator, options: SoakPlanOptions) => SoakAction

const actionGenerators: readonly ActionGenerator[] = [
  (random, { nodes }) => ({ kind: 'stopNode', node: pickRandom(random, nodes) }),
  (random, { nodes }) => ({ kind: 'killNode', node: pickRandom(random, nodes) }),
  (random, { nodes }) => ({ kind: 'pauseNode', node: pickRandom(random, nodes) }),
  (random, { nodes }) => ({ kind: 'reloadSettings', node: pickRandom(random, nodes) }),
  (random, { nodes }) => ({
    kind: 'stepClock', node: pickRandom(random, nodes), byMs: uniformInt(random, -MAX_CLOCK_STEP_MS, MAX_CLOCK_STEP_MS)
  }),
  (random, { nodes }) => ({
    kind: 'loseDatagrams', node: pickRandom(random, nodes), direction: pickRandom(random, ['from', 'to'])
  }),
  (random, { nodes }) => ({
    kind: 'disturbForwards', node: pickRandom(random, nodes), mode: pickRandom(random, ['reset', 'hold', 'slow'])
  }),
  (random, { nodes }) => ({
    kind: 'disturbStore', node: pickRandom(random, nodes), mode: pickRandom(random, ['reset', 'hold', 'slow'])
  }),
  (random) => ({ kind: 'troubleStore', fault: pickRandom(random, ['down', 'silent', 'lost']) }),
  () => ({ kind: 'dropHistory' }),
  (random, { nodes }) => ({ kind: 'crashServer', node: pickRandom(random, nodes) }),
  (random, { nodes }) => ({ kind: 'failServer', node: pickRandom(random, nodes), share: uniformFloat64(random) }),
  (random, { nodes }) => ({ kind: 'drainServer', node: pickRandom(random, nodes) }),
  () => ({ kind: 'withdrawKey' }),
  (random, { dataCentres }) => ({ kind: 'evacuate', dataCentre: pickRandom(random, dataCentres) })
]

/**
 * Generates the faults and operator actions of a run. The same seed gives the same plan.
 *
 * @param options - seed, nodes and span
 * @returns actions, sorted by start time
 * @public
 */
export function makeSoakPlan (options: SoakPlanOptions): PlannedAction[] {
  const random = createRandom(options.seed)
  const plan = [...planRestore(options), ...planRollOut(options)]
  const count = uniformInt(random, ACTION_COUNT.min, ACTION_COUNT.max)
  for (let index = 0; index < count; index++) {
    const action = pickRandom(random, actionGenerators)(random, options)
    const at = uniformInt(random, 0, options.span)
    const duration = millis(uniformInt(random, DURATION_MS.min, DURATION_MS.max))
    const repeats = uniformFloat64(random) < SERIES_CHANCE ? SERIES_LENGTH : 1
    for (let repeat = 0; repeat < repeats; repeat++) {
      plan.push({ at: millis(at + repeat * SERIES_GAP_MS), duration, action })
    }
  }
  return plan.sort((left, right) => left.at - right.at)
}

function planRestore ({ seed, span }: SoakPlanOptions): PlannedAction[] {
  const random = createRandom(seed + RESTORE_SEED_OFFSET)
  if (uniformFloat64(random) >= RESTORE_CHANCE) return []
  const at = millis(uniformInt(random, 0, span))
  const duration = millis(uniformInt(random, DURATION_MS.min, DURATION_MS.max))
  return [{ at, duration, action: { kind: 'restoreStore' } }]
}

/** Rolls a version out to a good half of the servers. */
function planRollOut ({ seed, nodes }: SoakPlanOptions): PlannedAction[] {
  const random = createRandom(seed + ROLL_OUT_SEED_OFFSET)
  if (uniformFloat64(random) >= ROLL_OUT_CHANCE) return []
  const errorShare = uniformFloat64(random) < BAD_VERSION_CHANCE ? BAD_VERSION_ERRORS : 0
  const at = millis(uniformInt(random, 0, MAX_ROLL_OUT_START_MS))
  const updated = nodes.filter((_, index) => index % 2 === 0)
  return [{ at, duration: ROLL_OUT_SPAN, action: { kind: 'rollOut', nodes: updated, errorShare } }]
}

function createRandom (seed: number): RandomGenerator {
  const random = xoroshiro128plus(seed)
  // The first outputs of the generator are correlated for consecutive seeds, so they are discarded.
  for (let skipped = 0; skipped < 8; skipped++) uniformInt(random, 0, 1)
  return random
}

function pickRandom<Item> (random: RandomGenerator, items: readonly Item[]): Item {
  return items[uniformInt(random, 0, items.length - 1)]!
}
