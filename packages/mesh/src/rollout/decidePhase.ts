import { addMillis, millis } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { collectSamples } from './collectSamples'
import type { Judgement } from './RolloutAnalysis'
import type { RolloutPhase } from './RolloutOrder'
import type { Conduct, NodeReport, Rollout } from './RolloutState'
import {
  COMPLETION_TIME, DECISION_TIME, EARLIEST_PROMOTION, FIRST_REPORTS_TIME, MIN_CLOSED_TIME, OVERLAP, REPORT_VALIDITY
} from './rolloutTimings'

/** The last seconds, in which a fault that appears late is not hidden by earlier results. */
const RECENT_MS = 4_000

/** Log odds up to which a version with few results is promoted when time runs out. */
const MAX_LEANING = { logOdds: 1, unprovenLogOdds: -2.5 }

/** Results that this takes. */
const MIN_LEANING_RESULTS = 20

/** Servers of the new version that have to be ready, as a part of those that they replace. */
const MIN_CAPACITY = 0.6

/** Interval between log lines about the evidence. */
const LOG_INTERVAL = millis(2_000)

/**
 * Decides whether a roll-out goes on to another phase.
 *
 * @param state - the conductor's state
 * @param rollout - the roll-out
 * @param conduct - the conductor's work; its `decision` is set
 * @returns log lines
 * @internal
 */
export function decidePhase (state: MeshState, rollout: Rollout, conduct: Conduct): MeshEffect[] {
  const { now } = state
  const judgement = judge(state, rollout, conduct)
  const elapsedMs = now - rollout.orderedAt
  conduct.evidence = `${judgement.verdict}: ${judgement.detail}`
  const decision = rollout.withdrawn
    ? { phase: 'rolledBack', reason: 'withdrawn by operators' } as const
    : findDecision(state, rollout, { conduct, judgement, elapsedMs })
  const isNew = decision?.phase !== conduct.decision?.phase
  const isLogDue = now - conduct.loggedAt >= LOG_INTERVAL
  conduct.decision = decision
  if (!isNew && !isLogDue) return []
  conduct.loggedAt = now
  const { service, to } = rollout.order
  const { verdict, logOdds, unprovenLogOdds, total, detail } = judgement
  const fields = {
    service,
    to,
    phase: conduct.stored?.record?.phase,
    next: decision?.phase,
    reason: decision?.reason,
    verdict,
    logOdds: Math.round(logOdds * 10) / 10,
    unprovenLogOdds: Math.round(unprovenLogOdds * 10) / 10,
    results: total,
    worst: detail,
    elapsedMs: Math.round(elapsedMs),
    newServers: listCurrent(state, conduct).filter(({ version, ready }) => version === to && ready).length,
    oldServers: listCurrent(state, conduct).filter(({ version, ready }) => version !== to && ready).length
  }
  const message = decision === undefined ? 'roll-out analysed' : 'roll-out decided'
  return [{ slice: 'log', type: 'line', level: 'info', message, fields }]
}

function judge (state: MeshState, rollout: Rollout, conduct: Conduct): Judgement {
  const { now, policies } = state
  const { to: version } = rollout.order
  const { canarySince } = conduct
  if (canarySince === undefined) return { verdict: 'undecided', logOdds: 0, unprovenLogOdds: 0, total: 0, detail: 'no requests yet' }
  const recentSince = addMillis(now, millis(-RECENT_MS))
  return policies.rolloutAnalysis.judge({
    whole: collectSamples(conduct, { version, since: canarySince }),
    recent: recentSince > canarySince ? collectSamples(conduct, { version, since: recentSince }) : []
  })
}

interface Situation {
  readonly conduct: Conduct
  readonly judgement: Judgement
  /** Time since the order. */
  readonly elapsedMs: number
}

function findDecision (
  state: MeshState,
  rollout: Rollout,
  { conduct, judgement, elapsedMs }: Situation
): Conduct['decision'] {
  const { verdict, detail, total, logOdds, unprovenLogOdds } = judgement
  const { duration } = rollout.order
  if (verdict === 'bad') return { phase: 'rolledBack', reason: `bad: ${detail}` }
  // Nodes that have not been asked yet are not silent, and their servers are not idle.
  if (state.now - conduct.conductsSince < FIRST_REPORTS_TIME) return undefined
  const phase: RolloutPhase = conduct.stored?.record?.phase ?? 'canary'
  if (phase === 'promoting') {
    const isReady = state.now - rollout.phaseSince >= OVERLAP + MIN_CLOSED_TIME
    const isDue = duration - elapsedMs <= COMPLETION_TIME || isDrained(state, rollout, conduct)
    return isReady && isDue ? { phase: 'completed', reason: `proven: ${detail}` } : undefined
  }
  if (verdict === 'good' && elapsedMs >= duration * EARLIEST_PROMOTION && hasCapacity(state, rollout, conduct)) {
    return { phase: 'promoting', reason: `proven: ${detail}` }
  }
  if (duration - elapsedMs > DECISION_TIME) return undefined
  const isLikelyGood = total >= MIN_LEANING_RESULTS && logOdds <= MAX_LEANING.logOdds &&
    unprovenLogOdds <= MAX_LEANING.unprovenLogOdds
  if (isLikelyGood && hasCapacity(state, rollout, conduct)) {
    return { phase: 'promoting', reason: `likely good when time ran out: ${detail}` }
  }
  return { phase: 'rolledBack', reason: `not proven in time: ${detail}` }
}

/** Whether the servers of other versions run no requests any more, so that they can be stopped. */
function isDrained (state: MeshState, { order: { to } }: Rollout, conduct: Conduct): boolean {
  return listCurrent(state, conduct).every(({ version, running }) => version === to || running === 0)
}

/** Whether the new servers can take the place of the others. */
function hasCapacity (state: MeshState, { order: { to } }: Rollout, conduct: Conduct): boolean {
  const ready = listCurrent(state, conduct).filter((report) => report.ready)
  const fresh = ready.filter(({ version }) => version === to).length
  return fresh > 0 && fresh >= (ready.length - fresh) * MIN_CAPACITY
}

function listCurrent ({ now }: MeshState, { reports }: Conduct): NodeReport[] {
  const latest = [...reports.values()].map((list) => list.at(-1)!)
  return latest.filter(({ receivedAt }) => now - receivedAt < REPORT_VALIDITY)
}
