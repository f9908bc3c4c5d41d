import { ErrorLikelihoodDetector } from './admission/ErrorLikelihoodDetector'
import type { GrayFailureDetector } from './admission/GrayFailureDetector'
import { LocalFirstRanking } from './gateway/LocalFirstRanking'
import type { CandidateRanking } from './gateway/CandidateRanking'

/** Behaviour that varies between deployments and baselines. @public */
export interface MeshPolicies {
  readonly ranking: CandidateRanking
  readonly grayFailureDetector: GrayFailureDetector
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
  grayFailureDetector = new ErrorLikelihoodDetector()
}: Partial<MeshPolicies> = {}): MeshPolicies {
  return { ranking, grayFailureDetector }
}
