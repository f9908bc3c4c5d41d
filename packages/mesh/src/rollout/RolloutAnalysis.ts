import type { DataCentreId, NodeId, RouteId } from '@lavenderturn/types'

/** Results of one server on one route within a period. @public */
export interface VersionSample {
  readonly node: NodeId
  readonly dataCentre: DataCentreId
  readonly route: RouteId
  /** Whether the server has the version that is rolled out. */
  readonly isCanary: boolean
  readonly total: number
  /** Requests that failed, or took much longer than usual for the route. */
  readonly bad: number
}

/** Results of both versions in the same periods. @public */
export interface VersionEvidence {
  /** Since the first request reached the new version. */
  readonly whole: readonly VersionSample[]
  /** Of the last seconds, in which a fault that appears late is not hidden by earlier results. */
  readonly recent: readonly VersionSample[]
}

/** @public */
export interface Judgement {
  readonly verdict: 'bad' | 'good' | 'undecided'
  /** Logarithm of the odds that the version is bad, on the worst route. */
  readonly logOdds: number
  /** The same for a version that is only a little worse, on the least proven of the routes with many requests. */
  readonly unprovenLogOdds: number
  /** Requests of the new version that the judgement rests on. */
  readonly total: number
  /** The counts that decided, for operators. */
  readonly detail: string
}

/** Judges whether a version is as good as the ones that it replaces. @public */
export abstract class RolloutAnalysis {
  /**
   * @param evidence - results of both versions
   * @returns the judgement
   */
  abstract judge (evidence: VersionEvidence): Judgement
}
