import { hashKey } from '@lavenderturn/runtime'
import { DEMO_DATA_CENTRES, DEMO_REGION, DEMO_ROUTES, DEMO_TEAMS } from './demoTraffic'

/** Share of the slots of a service that outlier ejection never removes. */
const CAPACITY_FLOOR = 0.5

/**
 * Creates the declaration of the demo in the format of a declaration file.
 *
 * @returns JSON
 * @internal
 */
export function makeDemoDeclaration (): string {
  return JSON.stringify({
    dataCentres: DEMO_DATA_CENTRES.map((id) => ({ id, region: DEMO_REGION, state: 'in' })),
    services: DEMO_ROUTES.map(({ service }) => ({ id: service, floor: CAPACITY_FLOOR })),
    routes: DEMO_ROUTES.map((route) => ({ ...route, access: 'allTeams' })),
    teams: DEMO_TEAMS.map(({ id, ratePerSecond, burst }) => ({ id, ratePerSecond, burst })),
    keys: DEMO_TEAMS.map(({ id, key }) => ({ hash: `sha256:${hashKey(key)}`, team: id }))
  })
}
