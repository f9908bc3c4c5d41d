import { summarizeLoad } from '../admission/summarizeLoad'
import type { MeshState } from '../MeshState'
import type { HeartbeatMessage, HelloMessage } from '../messages/PeerMessage'
import { toId } from '@lavenderturn/types'
import type { MemberRecord } from './Member'

/**
 * @param state - the node's state
 * @returns this node's record for the registry
 * @internal
 */
export function describeRecord ({ identity }: MeshState): MemberRecord {
  const { nodeId: node, bootId: boot, dataCentre, service, peerAddress, forwardAddress } = identity
  return { node, boot, dataCentre, service, peerAddress, forwardAddress }
}

/**
 * @param state - the node's state
 * @param hearsReceiver - whether this node receives heartbeats from the receiver
 * @returns this node's heartbeat
 * @internal
 */
export function composeHeartbeat (state: MeshState, hearsReceiver: boolean): HeartbeatMessage {
  return {
    kind: 'beat',
    node: state.identity.nodeId,
    boot: state.identity.bootId,
    load: summarizeLoad(state),
    revision: state.configuration.current?.revision ?? toId(0),
    leaving: state.lifecycle.stopping,
    hearsReceiver
  }
}

/**
 * @param state - the node's state
 * @param wantsReply - whether the receiver should introduce itself in return
 * @returns a message that introduces this node
 * @internal
 */
export function composeHello (state: MeshState, wantsReply: boolean): HelloMessage {
  const revision = state.configuration.current?.revision
  return { kind: 'hello', ...describeRecord(state), wantsReply, ...revision !== undefined && { revision } }
}
