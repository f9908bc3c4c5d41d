import type { NodeId } from '@lavenderturn/types'
import type { DirectoryState } from './DirectoryState'
import type { Member } from './Member'

/**
 * Adds a member or replaces the one with the same node id.
 *
 * @param directory - the directory
 * @param member - the member to add
 * @internal
 */
export function addMember (directory: DirectoryState, member: Member): void {
  removeMember(directory, member.node)
  directory.members.set(member.node, member)
  const peers = directory.byService.get(member.service)
  if (peers === undefined) directory.byService.set(member.service, new Map([[member.node, member]]))
  else peers.set(member.node, member)
}

/**
 * @param directory - the directory
 * @param node - the member to remove
 * @internal
 */
export function removeMember (directory: DirectoryState, node: NodeId): void {
  const member = directory.members.get(node)
  if (member === undefined) return
  directory.members.delete(node)
  const peers = directory.byService.get(member.service)!
  peers.delete(node)
  if (peers.size === 0) directory.byService.delete(member.service)
}

/**
 * @param directory - the directory
 * @param service - a service
 * @returns the members whose backend servers belong to the service
 * @internal
 */
export function listServers ({ byService }: DirectoryState, service: Member['service']): Iterable<Member> {
  return byService.get(service)?.values() ?? []
}
