import type { NodeIdentity } from '@lavenderturn/decisions'
import type { NodeSettings } from '@lavenderturn/runtime'
import { toId } from '@lavenderturn/types'
import { randomBytes } from 'node:crypto'
import { hostname } from 'node:os'

/** Random part of an id: a restarted process must not be taken for its predecessor. */
const RANDOM_BYTES = 4

/**
 * Makes the identity of this process.
 *
 * @param settings - checked settings
 * @returns who and where the node is
 * @internal
 */
export function createIdentity (settings: NodeSettings): NodeIdentity {
  const { nodeId, dataCentre, region, forwardAddress, controlAddress } = settings
  const host = hostname().split('.', 1)[0]!.replaceAll(/[^A-Za-z0-9-]/g, '-')
  const generated = `${host}-${process.pid}-${randomBytes(RANDOM_BYTES).toString('hex')}`
  return { nodeId: nodeId ?? toId(generated), dataCentre, region, forwardAddress, controlAddress }
}
