import type { NodeIdentity } from '@lavenderturn/decisions'
import type { NodeSettings } from '@lavenderturn/runtime'
import { toId } from '@lavenderturn/types'
import { randomBytes } from 'node:crypto'
import { hostname } from 'node:os'

/** Length of the random part of a node id, which distinguishes a restarted process from its predecessor. */
const RANDOM_BYTES = 4

/**
 * Creates the identity of this process.
 *
 * @param settings - validated settings
 * @returns id, location and addresses of the node
 * @internal
 */
export function createIdentity (settings: NodeSettings): NodeIdentity {
  const { nodeId, dataCentre, region, forwardAddress, controlAddress } = settings
  const host = hostname().split('.', 1)[0]!.replaceAll(/[^A-Za-z0-9-]/g, '-')
  const generated = `${host}-${process.pid}-${randomBytes(RANDOM_BYTES).toString('hex')}`
  return { nodeId: nodeId ?? toId(generated), dataCentre, region, forwardAddress, controlAddress }
}
