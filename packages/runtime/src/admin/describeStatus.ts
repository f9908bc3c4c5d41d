import { describeLoad, freshSince, type NodeState } from '@lavenderturn/decisions'
import type { TeamId } from '@lavenderturn/types'

/** JSON of `/status`. @public */
export type NodeStatus = ReturnType<typeof describeStatus>

/**
 * Describes a node for people and tests.
 *
 * @param state - the node's state
 * @returns plain data
 * @internal
 */
export function describeStatus (state: Readonly<NodeState>) {
  const { identity, control, lifecycle, membership, gateway, admission } = state
  return {
    node: identity,
    phase: lifecycle.phase,
    revision: control.document?.revision ?? null,
    freshAgeMs: state.now - freshSince(control),
    members: [...membership.members.values()].map(({ record, status }) => ({
      node: record.nodeId, status, dataCentre: record.dataCentre, region: record.region, endpoints: record.endpoints
    })),
    backendServers: [...admission.servers.values()].map((server) => ({
      endpoint: server.endpoint,
      service: server.service,
      state: server.state,
      bootId: server.bootId,
      ...describeLoad(state, server.endpoint)
    })),
    endpointsInUse: Object.fromEntries(state.health.loads),
    requestsInFlight: gateway.requests.size,
    teams: countByTeam(state)
  }
}

/** Requests in flight at this gateway, by team. */
function countByTeam ({ gateway }: Readonly<NodeState>): Readonly<Record<TeamId, number>> {
  const counts: Record<TeamId, number> = {}
  for (const { team } of gateway.requests.values()) {
    if (team !== undefined) counts[team] = (counts[team] ?? 0) + 1
  }
  return counts
}
