import { Code, ConnectError } from '@connectrpc/connect'
import { toId } from '@lavenderturn/types'
import { type Gossip as GossipMessage, MembershipService } from '@lavenderturn/wire'
import type { AddRoutes } from '../peers/createControlServer'
import type { Runtime } from '../Runtime'
import { decodeGossip, encodeGossip } from './gossipCodec'
import type { MembershipHandler } from './MembershipHandler'

/** @public */
export interface MembershipRoutesOptions {
  readonly runtime: Runtime
  readonly handler: MembershipHandler
}

/**
 * Adds the calls of the membership to the control port.
 *
 * @param options - the runtime that gets the events and the handler whose pending calls are answered
 * @returns what adds the calls
 * @public
 */
export function createMembershipRoutes ({ runtime, handler }: MembershipRoutesOptions): AddRoutes {
  const hear = async (message: GossipMessage | undefined, full: boolean): Promise<{ gossip?: GossipMessage }> => {
    // A probe on behalf of another member carries no gossip.
    if (message === undefined) return {}
    const gossip = decodeGossip(message)
    const answer = await handler.calls.open((callId) => {
      runtime.tell({ slice: 'membership', type: 'gossipAsked', callId, gossip, full })
    })
    if (answer === undefined) {
      throw new ConnectError('protocol version not supported; upgrade the node', Code.FailedPrecondition)
    }
    return { gossip: encodeGossip(answer) }
  }
  return (router) => router.service(MembershipService, {
    probe: async ({ gossip }) => await hear(gossip, false),
    exchange: async ({ gossip, full }) => await hear(gossip, full),
    probeIndirect: async ({ targetAddress }) => ({ reachable: await handler.probe(toId(targetAddress)) })
  })
}
