import type { ControlClient } from '../client/ControlClient'
import { exitCodes } from '../exitCodes'
import type { Output } from '../Output'
import { formatTable } from './formatTable'

/**
 * Prints the state of the fleet as a node sees it.
 *
 * @param client - client of any node
 * @returns revision, members, endpoints and teams
 * @internal
 */
export async function status (client: ControlClient): Promise<Output> {
  const value = await client.getStatus()
  const members = value.members.map(({ node, dataCentre, region, state, revision }) => {
    return [node, dataCentre, region, state, revision === undefined ? 'unknown' : String(revision)]
  })
  const endpoints = value.endpoints.map(({ id, service, node, state, verdict, reason }) => {
    return [id, service, node, state, verdict, reason ?? '']
  })
  const teams = value.teams.map(({ id, ratePerSecond, usedPerSecond }) => {
    return [id, usedPerSecond.toFixed(1), String(ratePerSecond)]
  })
  const lines = [
    `revision ${value.revision} on ${value.node}`,
    '',
    ...formatTable([['MEMBER', 'DATA CENTRE', 'REGION', 'STATE', 'REVISION'], ...members]),
    '',
    ...formatTable([['ENDPOINT', 'SERVICE', 'NODE', 'STATE', 'VERDICT', 'REASON'], ...endpoints]),
    '',
    ...formatTable([['TEAM', 'USED/S', 'RATE/S'], ...teams])
  ]
  return { lines, value, exitCode: exitCodes.done }
}
