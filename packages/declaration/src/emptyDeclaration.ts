import type { Declaration } from './Declaration'

/**
 * Creates the declaration that is in force before the first one is accepted.
 *
 * @returns a declaration without entries
 * @public
 */
export function emptyDeclaration (): Declaration {
  return { teams: [], keys: [], routes: [], services: [], dataCentres: [] }
}
