import { Agent } from 'node:http'
import type { RequestOutcome } from './DemoPlan'
import { DEMO_TEAMS, type DemoTeam } from './demoTraffic'
import { NodeUnavailableError, sendDemoRequest } from './sendDemoRequest'

/** Kinds of requests that each caller sends in turn. */
const REQUEST_MIX: ReadonlyArray<RequestOutcome['kind']> = [
  'lookup', 'reservation', 'lookup', 'lookup', 'reservation', 'lookup', 'upload', 'lookup', 'reservation', 'lookup'
]

/** @public */
export interface TrafficOptions {
  /** Caller addresses of the nodes in use. Nodes may be removed while requests are in flight. */
  readonly openAddresses: Set<string>
  /** Number of callers per team; each has one request in flight. */
  readonly callersPerTeam: number
  readonly onOutcome: (outcome: RequestOutcome) => void
  readonly shouldStop: (sent: number) => boolean
}

/**
 * Sends requests of all teams until `shouldStop` returns true.
 *
 * @param options - nodes, callers and callbacks
 * @returns a promise that resolves after the last response
 * @public
 */
export async function runTraffic (options: TrafficOptions): Promise<void> {
  const agent = new Agent({ keepAlive: true })
  const { openAddresses } = options
  let sent = 0
  const runCaller = async (team: DemoTeam, index: number): Promise<void> => {
    for (let sequence = index; !options.shouldStop(sent); sequence++) {
      const addresses = [...openAddresses]
      const address = addresses[sequence % addresses.length]
      if (address === undefined) throw new Error('no node takes connections')
      sent += 1
      try {
        options.onOutcome(await sendDemoRequest({
          address, team, agent, kind: REQUEST_MIX[sequence % REQUEST_MIX.length]!
        }))
      } catch (err) {
        if (!(err instanceof NodeUnavailableError)) throw err
        openAddresses.delete(address)
      }
    }
  }
  const callers = DEMO_TEAMS.flatMap((team) => {
    return Array.from({ length: options.callersPerTeam }, async (_, index) => { await runCaller(team, index) })
  })
  await Promise.all(callers).finally(() => { agent.destroy() })
}
