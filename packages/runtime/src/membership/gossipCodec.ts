import { create } from '@bufbuild/protobuf'
import type { EndpointRecord, FreshnessReport, Gossip, MemberChange, MemberRecord, MemberStatus } from '@lavenderturn/decisions'
import { millis, toId } from '@lavenderturn/types'
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
 * @param gossip - gossip from the reducer
 * @returns the gossip as a protobuf message
 * @internal
 */
export function encodeGossip (gossip: Gossip): GossipMessage {
  return create(GossipSchema, {
    from: gossip.from,
    protocolVersion: gossip.protocolVersion,
    changes: gossip.changes.map(({ record, status }) => ({
      record: encodeRecord(record), status: STATUS_MESSAGES[status]
    })),
    // The field is an unsigned integer.
    membersDigest: gossip.membersDigest >>> 0,
    ...encodeFreshness(gossip.freshness),
    crashMarks: gossip.crashMarks.map(({ fingerprint, crashes, cleared, age }) => ({
      fingerprint, crashes: [...crashes], cleared: [...cleared], ageMs: encodeAge(age)
    }))
  })
}

/**
 * @param message - gossip from another node
 * @returns the gossip for the reducer, without changes that this version cannot decode
 * @internal
 */
export function decodeGossip (message: GossipMessage): Gossip {
  return {
    from: toId(message.from),
    protocolVersion: message.protocolVersion,
    changes: message.changes.flatMap(decodeChange),
    membersDigest: message.membersDigest | 0,
    freshness: decodeFreshness(message),
    crashMarks: message.crashMarks.map(({ fingerprint, crashes, cleared, ageMs }) => ({
      fingerprint: toId(fingerprint), crashes, cleared, age: millis(ageMs)
    }))
  }
}

/** Rounds up, so that a report never appears newer than it is. */
function encodeAge (age: number): number {
  return Math.ceil(age)
}

function encodeFreshness ({ heartbeats, headReadAge, revision, assignmentChanges }: FreshnessReport) {
  return {
    heartbeats: heartbeats.map((heartbeat) => ({
      dataCentre: heartbeat.dataCentre,
      ageMs: encodeAge(heartbeat.ageMillis),
      revision: BigInt(heartbeat.revision),
      members: heartbeat.members
    })),
    headReadAgeMs: headReadAge === undefined ? undefined : encodeAge(headReadAge),
    revision: BigInt(revision),
    assignmentChanges: assignmentChanges.map(({ partition, domain, epoch, sequence, owner }) => ({
      partition, domain, epoch: BigInt(epoch), sequence: BigInt(sequence), owner
    }))
  }
}

function decodeFreshness (message: GossipMessage): FreshnessReport {
  return {
    heartbeats: message.heartbeats.map(({ dataCentre, ageMs, revision, members }) => ({
      dataCentre: toId(dataCentre), ageMillis: ageMs, revision: toId(Number(revision)), members
    })),
    headReadAge: message.headReadAgeMs,
    revision: toId(Number(message.revision)),
    assignmentChanges: message.assignmentChanges.map(({ partition, domain, epoch, sequence, owner }) => ({
      partition: toId(partition),
      domain: toId(domain),
      epoch: Number(epoch),
      sequence: Number(sequence),
      owner: toId(owner)
    }))
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
