import { create } from '@bufbuild/protobuf'
import type { EndpointRecord, Gossip, MemberChange, MemberRecord, MemberStatus } from '@lavenderturn/decisions'
import { toId } from '@lavenderturn/types'
import {
  type Gossip as GossipMessage, GossipSchema, type MemberChange as MemberChangeMessage,
  type MemberRecord as MemberRecordMessage, MemberStatus as StatusMessage
} from '@lavenderturn/wire'

const STATUS_MESSAGES: Readonly<Record<MemberStatus, StatusMessage>> = {
  alive: StatusMessage.ALIVE,
  suspect: StatusMessage.SUSPECT,
  dead: StatusMessage.DEAD,
  left: StatusMessage.LEFT
}

/**
 * @param gossip - gossip of the reducer
 * @returns the message
 * @internal
 */
export function encodeGossip (gossip: Gossip): GossipMessage {
  return create(GossipSchema, {
    from: gossip.from,
    protocolVersion: gossip.protocolVersion,
    changes: gossip.changes.map(({ record, status }) => ({
      record: encodeRecord(record), status: STATUS_MESSAGES[status]
    })),
    // The wire format has unsigned integers only.
    membersDigest: gossip.membersDigest >>> 0
  })
}

/**
 * @param message - a message of another node
 * @returns gossip for the reducer; changes that this version cannot read are left out
 * @internal
 */
export function decodeGossip (message: GossipMessage): Gossip {
  return {
    from: toId(message.from),
    protocolVersion: message.protocolVersion,
    changes: message.changes.flatMap(decodeChange),
    membersDigest: message.membersDigest | 0
  }
}

function encodeRecord (record: MemberRecord): Omit<MemberRecordMessage, '$typeName' | 'endpoints'> & {
  endpoints: Array<{ id: string, service: string, slots: number, draining: boolean }>
} {
  const { nodeId, incarnation, dataCentre, region, forwardAddress, controlAddress } = record
  return {
    nodeId,
    incarnation,
    dataCentre,
    region,
    forwardAddress,
    controlAddress,
    protocolVersion: record.protocolVersion,
    endpointsVersion: record.endpointsVersion,
    endpoints: record.endpoints.map(({ id, service, slots, state }) => ({
      id, service, slots, draining: state === 'draining'
    }))
  }
}

function decodeChange ({ record, status }: MemberChangeMessage): MemberChange[] {
  const known = (Object.keys(STATUS_MESSAGES) as MemberStatus[]).find((name) => STATUS_MESSAGES[name] === status)
  return record === undefined || known === undefined ? [] : [{ record: decodeRecord(record), status: known }]
}

function decodeRecord (message: MemberRecordMessage): MemberRecord {
  return {
    nodeId: toId(message.nodeId),
    incarnation: message.incarnation,
    dataCentre: toId(message.dataCentre),
    region: toId(message.region),
    forwardAddress: toId(message.forwardAddress),
    controlAddress: toId(message.controlAddress),
    protocolVersion: message.protocolVersion,
    endpointsVersion: message.endpointsVersion,
    endpoints: message.endpoints.map(({ id, service, slots, draining }): EndpointRecord => ({
      id: toId(id), service: toId(service), slots, state: draining ? 'draining' : 'serving'
    }))
  }
}
