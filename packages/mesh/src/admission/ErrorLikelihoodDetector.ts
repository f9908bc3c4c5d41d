import type { Millis } from '@lavenderturn/types'
import { type DetectionContext, GrayFailureDetector, type RequestEvidence, type GrayFailureState } from './GrayFailureDetector'

/** Share of healthy servers' requests that fail, at least. */
const HEALTHY_ERROR_RATE = 0.02

/** Share of a partially faulty server's requests that fail. */
const GRAY_FAILURE_ERROR_RATE = 0.75

/** Keeps the weights finite when everything fails. */
const MAX_ERROR_RATE = 0.95

/** Share of healthy servers' requests that take several times as long as usual. */
const HEALTHY_OVERDUE_RATE = 0.03

/** Share of a faulty server's requests that hang. */
const GRAY_FAILURE_OVERDUE_RATE = 0.3

/** Odds of a partial fault without any evidence. */
const PRIOR_LOG_ODDS = Math.log(0.04 / 0.96)

/** Keeps the way back short after a long fault. */
const MAX_LOG_ODDS = 4

/**
 * Probability above which a server is suspect: 0.15. It is low because a request that may not be repeated is lost at a
 * faulty server, while going elsewhere costs almost nothing. One error reaches it, and two successes lead back.
 */
const SUSPECT_LOG_ODDS = Math.log(0.15 / 0.85)

/** Time constant with which evidence loses its weight; partial faults last up to some ten seconds. */
const EVIDENCE_TIME_CONSTANT_MS = 10_000

/** Compares how likely the results are under health and under a partial fault. @public */
export class ErrorLikelihoodDetector extends GrayFailureDetector {
  override observe (
    gray: GrayFailureState,
    evidence: RequestEvidence,
    { now, baselineErrorRate }: DetectionContext
  ): void {
    const logOdds = decayLogOdds(gray, now) + findLogLikelihoodRatio(evidence, baselineErrorRate)
    gray.logOdds = Math.min(MAX_LOG_ODDS, Math.max(PRIOR_LOG_ODDS, logOdds))
    gray.updatedAt = now
  }

  override isSuspect (gray: GrayFailureState, now: Millis): boolean {
    return decayLogOdds(gray, now) > SUSPECT_LOG_ODDS
  }
}

function findLogLikelihoodRatio (evidence: RequestEvidence, baselineErrorRate: number): number {
  const healthyRate = Math.min(MAX_ERROR_RATE, Math.max(HEALTHY_ERROR_RATE, baselineErrorRate))
  const grayRate = Math.max(GRAY_FAILURE_ERROR_RATE, healthyRate)
  switch (evidence) {
    case 'error': return Math.log(grayRate / healthyRate)
    case 'success': return Math.log((1 - grayRate) / (1 - healthyRate))
    case 'overdue': return Math.log(GRAY_FAILURE_OVERDUE_RATE / HEALTHY_OVERDUE_RATE)
  }
}

function decayLogOdds ({ logOdds, updatedAt }: GrayFailureState, now: Millis): number {
  if (logOdds <= PRIOR_LOG_ODDS) return PRIOR_LOG_ODDS
  const decay = Math.exp((updatedAt - now) / EVIDENCE_TIME_CONSTANT_MS)
  return PRIOR_LOG_ODDS + (logOdds - PRIOR_LOG_ODDS) * decay
}
