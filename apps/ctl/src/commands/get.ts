import type { ControlClient } from '../client/ControlClient'
import { exitCodes } from '../exitCodes'
import type { Output } from '../Output'
import { stringify } from 'yaml'

/**
 * Prints the declaration in force as a file that `apply` takes. Key hashes are shortened to 128 bits.
 *
 * @param client - a node
 * @returns YAML with the revision in a comment
 * @internal
 */
export async function get (client: ControlClient): Promise<Output> {
  const { revision, declaration } = await client.getDeclaration()
  const { dataCentres, services, routes, teams, keys } = declaration
  const text = stringify({ dataCentres, services, routes, teams, keys }, { aliasDuplicateObjects: false }).trimEnd()
  return { lines: [`# revision ${revision}`, text], value: { revision, declaration }, exitCode: exitCodes.done }
}
