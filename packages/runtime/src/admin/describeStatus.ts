import { describeLoad, findLoad, isFresh, type NodeState, revisionConfirmedAt } from '@lavenderturn/decisions'
import type { TeamUsage } from './TeamUsage'

/** The value that `/status` returns as JSON. @public */
export type NodeStatus = ReturnType<typeof describeStatus>

/**
 * Describes a node and its view of the fleet, for operators and tests.
 *
 * @param state - the node's state
 * @param usage - request rates of the teams at this gateway
 * @returns the status as plain data
 * @internal
 */
export function describeStatus (state: Readonly<NodeState>, usage: TeamUsage) {
  const { identity, control, lifecycle, gateway } = state
  return {
    node: identity.nodeId,
    dataCentre: identity.dataCentre,
    region: identity.region,
    phase: lifecycle.phase,
    revision: control.document?.revision ?? 0,
    controlRevision: control.revision,
    fresh: isFresh(state),
    freshAgeMs: state.now - revisionConfirmedAt(control),
    members: describeMembers(state),
    endpoints: describeEndpoints(state),
    backendServers: describeBackendServers(state),
    requestsInFlight: gateway.requests.size,
    teams: usage.listTeams().map((id) => ({
      id,
      ratePerSecond: control.document?.findTeam(id)?.ratePerSecond ?? 0,
      usedPerSecond: usage.usedPerSecond(id)
    }))
  }
}

function describeMembers ({ membership }: Readonly<NodeState>) {
  return [...membership.members.values()].map(({ record, status }) => ({
    node: record.nodeId,
    state: status,
    dataCentre: record.dataCentre,
    region: record.region,
    endpoints: record.endpoints
  }))
}

/** Endpoints as seen by this gateway; the verdict is that of the admission on the backend server's node. */
function describeEndpoints (state: Readonly<NodeState>) {
  return [...state.membership.directory.values()].flatMap((entries) => [...entries.values()])
    .map(({ endpoint, member }) => {
      const load = findLoad(state, endpoint.id)
      return {
        id: endpoint.id,
        service: endpoint.service,
        node: member.record.nodeId,
        state: endpoint.state,
        verdict: load?.verdict ?? 'unknown',
        reason: load === undefined ? 'no traffic from this gateway in the last 10 s' : undefined
      }
    })
}

function describeBackendServers (state: Readonly<NodeState>) {
  return [...state.admission.servers.values()].map((server) => ({
    endpoint: server.endpoint,
    service: server.service,
    state: server.state,
    bootId: server.bootId,
    ...describeLoad(state, server.endpoint)
  }))
}
