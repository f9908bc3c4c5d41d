import { type Judgement, RolloutAnalysis, type VersionEvidence, type VersionSample } from './RolloutAnalysis'

/** Probability of rolling a good version back, for each route and period. */
const FALSE_ALARM_RATE = 0.004

/** Probability of promoting a version whose share of bad results is higher by `MIN_EFFECT`. */
const MISS_RATE = 0.002

/** Smallest increase in the share of bad results that a version is tested for. */
const MIN_EFFECT = 0.2

/** Increases in the share of bad results among which a bad version is assumed to be. */
const EFFECTS = [0.15, 0.3, 0.6]

/** Share of bad results of a single server with a gray failure, whatever its version. */
const GRAY_BAD_SHARE = 0.6

/** A server counts as one with a gray failure above this share of bad results. */
const GRAY_THRESHOLD = 0.4

/** Results that a server needs to be counted among those with or without a gray failure. */
const MIN_GRAY_SAMPLE = 3

/** Bounds of the estimated share of servers with a gray failure. */
const GRAY_SHARE = { min: 0.08, max: 0.4 }

/** Bounds of the estimated share of bad results. */
const BASELINE = { min: 0.03, max: 0.6 }

/** Results that are assumed before the first one, with the share `ASSUMED_BAD`, so that few results say little. */
const ASSUMED_RESULTS = 8
const ASSUMED_BAD = 0.06

/** Part of the service's requests from which a route has to be proven by its own results. */
const RELEVANT_SHARE = 0.05

/** Log odds in the last seconds above which a version that seems good is not promoted yet. */
const MAX_RECENT_LOG_ODDS = 1

/**
 * Sequential test of the likelihood ratio, for each route, and for each route in each data centre. The results of one
 * server count as a mixture: it may have a gray failure that has nothing to do with its version, as often as servers of
 * the other version do. A few failing servers therefore do not condemn a version, however often they fail.
 *
 * @public
 */
export class SequentialAnalysis extends RolloutAnalysis {
  override judge ({ whole, recent }: VersionEvidence): Judgement {
    const total = countTotal(whole.filter(({ isCanary }) => isCanary))
    const worst = findHighest([...testGroups(whole), ...testGroups(recent)], ({ badLogOdds }) => badLogOdds)
    const unproven = findHighest(testRelevantRoutes(whole), ({ minEffectLogOdds }) => minEffectLogOdds)
    if (worst === undefined || unproven === undefined) {
      return { verdict: 'undecided', logOdds: 0, unprovenLogOdds: 0, total, detail: 'no results' }
    }
    const odds = { logOdds: worst.badLogOdds, unprovenLogOdds: unproven.minEffectLogOdds, total }
    if (odds.logOdds >= Math.log(1 / FALSE_ALARM_RATE)) return { verdict: 'bad', ...odds, detail: worst.detail }
    const isProven = odds.unprovenLogOdds <= Math.log(MISS_RATE)
    const isWorsening = testRoutes(recent).some(({ badLogOdds }) => badLogOdds > MAX_RECENT_LOG_ODDS)
    return { verdict: isProven && !isWorsening ? 'good' : 'undecided', ...odds, detail: unproven.detail }
  }
}

interface GroupTest {
  /** Log odds of a bad version against a good one. */
  readonly badLogOdds: number
  /** Log odds of a version that is worse by the smallest effect against a good one. */
  readonly minEffectLogOdds: number
  readonly detail: string
}

function testGroups (samples: readonly VersionSample[]): GroupTest[] {
  return [...testRoutes(samples), ...testDataCentres(samples)]
}

function testRoutes (samples: readonly VersionSample[]): GroupTest[] {
  return groupBy(samples, ({ route }) => route).map(([name, group]) => testGroup(name, group))
}

/** Finds faults that a version has in one data centre only. */
function testDataCentres (samples: readonly VersionSample[]): GroupTest[] {
  const groups = groupBy(samples, ({ route, dataCentre }) => `${route} in ${dataCentre}`)
  return groups.map(([name, group]) => testGroup(name, group))
}

/** Tests the routes that carry a relevant part of the requests. Each is proven by its own results. */
function testRelevantRoutes (samples: readonly VersionSample[]): GroupTest[] {
  const countOthers = (group: readonly VersionSample[]): number => countTotal(group.filter(({ isCanary }) => !isCanary))
  const min = countOthers(samples) * RELEVANT_SHARE
  const relevant = groupBy(samples, ({ route }) => route).filter(([, group]) => countOthers(group) >= min)
  return relevant.map(([name, group]) => testGroup(name, group))
}

function findHighest (tests: readonly GroupTest[], read: (test: GroupTest) => number): GroupTest | undefined {
  return tests.reduce<GroupTest | undefined>((highest, test) => {
    return highest === undefined || read(test) > read(highest) ? test : highest
  }, undefined)
}

function testGroup (name: string, samples: readonly VersionSample[]): GroupTest {
  const canaries = samples.filter(({ isCanary }) => isCanary)
  const others = samples.filter(({ isCanary }) => !isCanary)
  const baseline = estimateBaseline(others)
  const grayShare = estimateGrayShare(others)
  const likelihood = (badShare: number): number => {
    return canaries.reduce((sum, sample) => sum + mixtureLogLikelihood(sample, { badShare, grayShare }), 0)
  }
  const good = likelihood(baseline)
  const bad = logMeanExp(EFFECTS.map((effect) => likelihood(Math.min(0.95, baseline + effect))))
  const counts = `${countBad(canaries)} of ${countTotal(canaries)} bad at ${canaries.length} servers`
  return {
    badLogOdds: bad - good,
    minEffectLogOdds: likelihood(Math.min(0.95, baseline + MIN_EFFECT)) - good,
    detail: `${name}: ${counts}, against ${countBad(others)} of ${countTotal(others)}`
  }
}

function estimateBaseline (others: readonly VersionSample[]): number {
  const share = (countBad(others) + ASSUMED_RESULTS * ASSUMED_BAD) / (countTotal(others) + ASSUMED_RESULTS)
  return Math.min(BASELINE.max, Math.max(BASELINE.min, share))
}

function estimateGrayShare (others: readonly VersionSample[]): number {
  const known = others.filter(({ total }) => total >= MIN_GRAY_SAMPLE)
  const gray = known.filter(({ bad, total }) => bad / total > GRAY_THRESHOLD).length
  const share = (gray + 1) / (known.length + 10)
  return Math.min(GRAY_SHARE.max, Math.max(GRAY_SHARE.min, share))
}

function mixtureLogLikelihood (
  { total, bad }: VersionSample,
  { badShare, grayShare }: { readonly badShare: number, readonly grayShare: number }
): number {
  const sound = Math.log(1 - grayShare) + logLikelihood(total, bad, badShare)
  const gray = Math.log(grayShare) + logLikelihood(total, bad, Math.max(GRAY_BAD_SHARE, badShare))
  return logSumExp([sound, gray])
}

function logLikelihood (total: number, bad: number, badShare: number): number {
  return bad * Math.log(badShare) + (total - bad) * Math.log(1 - badShare)
}

function logSumExp (values: readonly number[]): number {
  const max = Math.max(...values)
  return max + Math.log(values.reduce((sum, value) => sum + Math.exp(value - max), 0))
}

function logMeanExp (values: readonly number[]): number {
  return logSumExp(values) - Math.log(values.length)
}

function countTotal (samples: readonly VersionSample[]): number {
  return samples.reduce((sum, { total }) => sum + total, 0)
}

function countBad (samples: readonly VersionSample[]): number {
  return samples.reduce((sum, { bad }) => sum + bad, 0)
}

function groupBy (
  samples: readonly VersionSample[],
  findName: (sample: VersionSample) => string
): Array<readonly [string, readonly VersionSample[]]> {
  const groups = new Map<string, VersionSample[]>()
  for (const sample of samples) {
    const name = findName(sample)
    const group = groups.get(name)
    if (group === undefined) groups.set(name, [sample])
    else group.push(sample)
  }
  return [...groups]
}
