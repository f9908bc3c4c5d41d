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
 * Creates the routes of `MembershipService` on the control port.
 *
 * @param options - the runtime that reduces the events, and the handler with the pending calls
 * @returns a function that adds the routes to a router
 * @public
 */
export function createMembershipRoutes ({ runtime, handler }: MembershipRoutesOptions): AddRoutes {
  const answerGossip = async (
    message: GossipMessage | undefined, full: boolean
  ): Promise<{ gossip?: GossipMessage }> => {
    // Indirect probes, which are sent for another member, have no gossip.
    if (message === undefined) return {}
    const gossip = decodeGossip(message)
    const answer = await handler.pendingGossip.open((callId) => {
      runtime.enqueue({ slice: 'membership', type: 'gossipAsked', callId, gossip, full })
    })
    if (answer === undefined) {
      throw new ConnectError('protocol version not supported; upgrade the node', Code.FailedPrecondition)
    }
    return { gossip: encodeGossip(answer) }
  }
  return (router) => router.service(MembershipService, {
    probe: async ({ gossip }) => await answerGossip(gossip, false),
    exchange: async ({ gossip, full }) => await answerGossip(gossip, full),
    probeIndirect: async ({ targetAddress }) => ({ reachable: await handler.probe(toId(targetAddress)) })
  })
}
