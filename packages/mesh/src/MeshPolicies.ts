import { ErrorLikelihood } from './admission/ErrorLikelihood'
import type { GrayDetection } from './admission/GrayDetection'
import { LocalFirstRanking } from './gateway/LocalFirstRanking'
import type { CandidateRanking } from './gateway/CandidateRanking'

/** Behaviour that varies between deployments and baselines. @public */
export interface MeshPolicies {
  readonly ranking: CandidateRanking
  readonly grayDetection: GrayDetection
}

/**
 * Fills in the default policies.
 *
 * @param policies - the policies that differ from the defaults
 * @returns a complete set
 * @public
 */
export function createMeshPolicies ({
  ranking = new LocalFirstRanking(),
  grayDetection = new ErrorLikelihood()
}: Partial<MeshPolicies> = {}): MeshPolicies {
  return { ranking, grayDetection }
}
