import type { ControlClient } from '../client/ControlClient'
import { exitCodes } from '../exitCodes'
import type { Output } from '../Output'
import { stringify } from 'yaml'

/**
 * Prints the declaration in force in the file format of `apply`. Key hashes are shortened to 128 bits.
 *
 * @param client - client of any node
 * @returns YAML, with the revision in a comment
 * @internal
 */
export async function get (client: ControlClient): Promise<Output> {
  const { revision, declaration } = await client.getDeclaration()
  const { dataCentres, services, routes, teams, keys } = declaration
  const text = stringify({ dataCentres, services, routes, teams, keys }, { aliasDuplicateObjects: false }).trimEnd()
  return { lines: [`# revision ${revision}`, text], value: { revision, declaration }, exitCode: exitCodes.done }
}
