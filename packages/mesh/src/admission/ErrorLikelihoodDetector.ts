import type { Millis } from '@lavenderturn/types'
import { type DetectionContext, GrayFailureDetector, type RequestEvidence, type GrayFailureState } from './GrayFailureDetector'

/** Lowest assumed error rate of a healthy server. */
const HEALTHY_ERROR_RATE = 0.02

/** Error rate of a server with a gray failure. */
const GRAY_FAILURE_ERROR_RATE = 0.75

/** Keeps the log-likelihood ratios finite when every request fails. */
const MAX_ERROR_RATE = 0.95

/** Share of a healthy server's requests that take several times longer than usual. */
const HEALTHY_OVERDUE_RATE = 0.03

/** Share of requests that hang at a server with a gray failure. */
const GRAY_FAILURE_OVERDUE_RATE = 0.3

/** Log odds of a gray failure without any evidence. */
const PRIOR_LOG_ODDS = Math.log(0.04 / 0.96)

/** Upper limit of the log odds, so that a server recovers quickly after a long failure. */
const MAX_LOG_ODDS = 4

/**
 * Log odds above which a server is suspect, a probability of 0.15. The threshold is low because a request that may run
 * only once is lost at a faulty server, while sending it elsewhere costs almost nothing. One error crosses the
 * threshold, and two successes cross it back.
 */
const SUSPECT_LOG_ODDS = Math.log(0.15 / 0.85)

/** Time constant with which evidence decays. Gray failures last up to about ten seconds. */
const EVIDENCE_TIME_CONSTANT_MS = 10_000

/** Compares the likelihood of the observed results for a healthy server and for one with a gray failure. @public */
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
