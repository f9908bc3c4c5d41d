import type { Declaration } from './Declaration'

/**
 * @returns the declaration before the first one is accepted
 * @public
 */
export function emptyDeclaration (): Declaration {
  return { teams: [], keys: [], routes: [], services: [], dataCentres: [] }
}
