import { ErrorLikelihoodDetector } from './admission/ErrorLikelihoodDetector'
import type { GrayFailureDetector } from './admission/GrayFailureDetector'
import { LocalFirstRanking } from './gateway/LocalFirstRanking'
import type { CandidateRanking } from './gateway/CandidateRanking'
import type { RolloutAnalysis } from './rollout/RolloutAnalysis'
import { SequentialAnalysis } from './rollout/SequentialAnalysis'

/** Behaviour that varies between deployments and baselines. @public */
export interface MeshPolicies {
  readonly ranking: CandidateRanking
  readonly grayFailureDetector: GrayFailureDetector
  readonly rolloutAnalysis: RolloutAnalysis
}

/**
 * Completes a set of policies with the defaults.
 *
 * @param policies - the policies that differ from the defaults
 * @returns the complete set
 * @public
 */
export function createMeshPolicies ({
  ranking = new LocalFirstRanking(),
  grayFailureDetector = new ErrorLikelihoodDetector(),
  rolloutAnalysis = new SequentialAnalysis()
}: Partial<MeshPolicies> = {}): MeshPolicies {
  return { ranking, grayFailureDetector, rolloutAnalysis }
}
