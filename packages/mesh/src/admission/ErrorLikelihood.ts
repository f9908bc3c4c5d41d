import type { Millis } from '@lavenderturn/types'
import { type GrayContext, GrayDetection, type GrayEvidence, type GrayState } from './GrayDetection'

/** Share of healthy servers' requests that fail, at least. */
const HEALTHY_ERROR_SHARE = 0.02

/** Share of a partially faulty server's requests that fail. */
const GRAY_ERROR_SHARE = 0.75

/** Keeps the weights finite when everything fails. */
const LARGEST_ERROR_SHARE = 0.95

/** Share of healthy servers' requests that take several times as long as usual. */
const HEALTHY_OVERDUE_SHARE = 0.03

/** Share of a faulty server's requests that hang. */
const GRAY_OVERDUE_SHARE = 0.3

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
const EVIDENCE_LIFETIME_MS = 10_000

/** Compares how likely the results are under health and under a partial fault. @public */
export class ErrorLikelihood extends GrayDetection {
  override observe (gray: GrayState, evidence: GrayEvidence, { now, usualErrorShare }: GrayContext): void {
    const logOdds = readLogOdds(gray, now) + weigh(evidence, usualErrorShare)
    gray.logOdds = Math.min(MAX_LOG_ODDS, Math.max(PRIOR_LOG_ODDS, logOdds))
    gray.updatedAt = now
  }

  override isSuspect (gray: GrayState, now: Millis): boolean {
    return readLogOdds(gray, now) > SUSPECT_LOG_ODDS
  }
}

function weigh (evidence: GrayEvidence, usualErrorShare: number): number {
  const usual = Math.min(LARGEST_ERROR_SHARE, Math.max(HEALTHY_ERROR_SHARE, usualErrorShare))
  const gray = Math.max(GRAY_ERROR_SHARE, usual)
  switch (evidence) {
    case 'error': return Math.log(gray / usual)
    case 'success': return Math.log((1 - gray) / (1 - usual))
    case 'overdue': return Math.log(GRAY_OVERDUE_SHARE / HEALTHY_OVERDUE_SHARE)
  }
}

function readLogOdds ({ logOdds, updatedAt }: GrayState, now: Millis): number {
  if (logOdds <= PRIOR_LOG_ODDS) return PRIOR_LOG_ODDS
  const remaining = Math.exp((updatedAt - now) / EVIDENCE_LIFETIME_MS)
  return PRIOR_LOG_ODDS + (logOdds - PRIOR_LOG_ODDS) * remaining
}
