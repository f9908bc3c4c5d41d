import { ALIVE_TIMEOUT } from '../directory/directoryTimings'
import { isAlive } from '../directory/isAlive'
import { listServers } from '../directory/memberTable'
import type { MeshState } from '../MeshState'

/** Share of a service's servers that are assumed to be healthy at any time. */
const HEALTHY_QUANTILE = 0.4

/** Servers needed for a comparison. */
const MIN_SERVERS = 3

/**
 * Finds the error rate of healthy servers of this instance's service. When a service that they call is down, all of
 * them fail alike and none should be avoided for it.
 *
 * @param state - the node's state
 * @returns the error rate, or 0 if there are too few servers to compare with
 * @internal
 */
export function findBaselineErrorRate (state: MeshState): number {
  const { directory, identity } = state
  const rates: number[] = []
  for (const member of listServers(directory, identity.service)) {
    if (member.node === identity.nodeId || member.loadReceivedAt === 0) continue
    // Nodes of other data centres may report their load only in replies.
    if (state.now - member.loadReceivedAt > ALIVE_TIMEOUT) continue
    if (isAlive(state, member)) rates.push(member.load.errorRate)
  }
  if (rates.length < MIN_SERVERS) return 0
  rates.sort((left, right) => left - right)
  return rates[Math.floor(rates.length * HEALTHY_QUANTILE)]!
}
