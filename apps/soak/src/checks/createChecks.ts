import { AtMostOnce } from './AtMostOnce'
import { ColdServerRate } from './ColdServerRate'
import { DrainAndEvacuation } from './DrainAndEvacuation'
import type { InvariantCheck } from './InvariantCheck'
import { PlannedStops } from './PlannedStops'
import { RateLimits } from './RateLimits'
import { Recovery } from './Recovery'
import { RefusalAccuracy } from './RefusalAccuracy'
import { ResponseDeadlines } from './ResponseDeadlines'
import { ResponseIntegrity } from './ResponseIntegrity'
import { VersionExposure } from './VersionExposure'
import { WithdrawnKeys } from './WithdrawnKeys'

/**
 * @returns new instances of all checks, for one run
 * @public
 */
export function createChecks (): InvariantCheck[] {
  return [
    new AtMostOnce(),
    new ColdServerRate(),
    new DrainAndEvacuation(),
    new ResponseDeadlines(),
    new RateLimits(),
    new PlannedStops(),
    new Recovery(),
    new RefusalAccuracy(),
    new ResponseIntegrity(),
    new VersionExposure(),
    new WithdrawnKeys()
  ]
}
