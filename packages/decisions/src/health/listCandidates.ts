import type { EndpointId, ServiceId } from '@lavenderturn/types'
import type { DirectoryEntry } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'

/**
 * Lists the endpoints of a service that may get new work from this gateway.
 *
 * @param state - the node's state
 * @param service - the service
 * @param tried - endpoints that this request has tried already
 * @returns the endpoints, in no fixed order
 * @public
 */
export function listCandidates (
  state: NodeState,
  service: ServiceId,
  tried: ReadonlySet<EndpointId>
): DirectoryEntry[] {
  const entries = state.membership.directory.get(service)
  if (entries === undefined) return []
  const candidates: DirectoryEntry[] = []
  for (const entry of entries.values()) {
    if (entry.endpoint.state !== 'serving' || tried.has(entry.endpoint.id)) continue
    if (state.control.document?.dataCentreState(entry.member.record.dataCentre) === 'out') continue
    candidates.push(entry)
  }
  return candidates
}
