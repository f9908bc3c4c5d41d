import { Agent } from 'node:http'
import type { RequestOutcome } from './DemoPlan'
import { DEMO_TEAMS, type DemoTeam } from './demoTraffic'
import { NodeClosedError, sendDemoRequest } from './sendDemoRequest'

/** Out of this many requests of a caller one is an upload and three are reservations. */
const CYCLE: ReadonlyArray<RequestOutcome['kind']> = [
  'lookup', 'reservation', 'lookup', 'lookup', 'reservation', 'lookup', 'upload', 'lookup', 'reservation', 'lookup'
]

/** @public */
export interface TrafficOptions {
  /** Caller addresses; those that are taken out while requests run get no new ones. */
  readonly open: Set<string>
  /** Callers of each team; each has one request open at a time. */
  readonly callersPerTeam: number
  readonly onOutcome: (outcome: RequestOutcome) => void
  readonly shouldStop: (sent: number) => boolean
}

/**
 * Sends requests of all teams until told to stop.
 *
 * @param options - nodes, callers and where outcomes go
 * @returns when all callers have their last answer
 * @public
 */
export async function runTraffic (options: TrafficOptions): Promise<void> {
  const agent = new Agent({ keepAlive: true })
  const { open } = options
  let sent = 0
  const runCaller = async (team: DemoTeam, index: number): Promise<void> => {
    for (let turn = index; !options.shouldStop(sent); turn++) {
      const addresses = [...open]
      const address = addresses[turn % addresses.length]
      if (address === undefined) throw new Error('no node takes connections')
      sent += 1
      try {
        options.onOutcome(await sendDemoRequest({ address, team, agent, kind: CYCLE[turn % CYCLE.length]! }))
      } catch (err) {
        if (!(err instanceof NodeClosedError)) throw err
        open.delete(address)
      }
    }
  }
  const callers = DEMO_TEAMS.flatMap((team) => {
    return Array.from({ length: options.callersPerTeam }, async (_, index) => { await runCaller(team, index) })
  })
  await Promise.all(callers).finally(() => { agent.destroy() })
}
