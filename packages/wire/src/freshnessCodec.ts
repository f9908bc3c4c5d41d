import { create } from '@bufbuild/protobuf'
import type { FreshnessReport as Report, HeartbeatReport } from '@lavenderturn/decisions'
import { toId } from '@lavenderturn/types'
import { decodeAssignment, encodeAssignment } from './assignmentCodec'
import { type FreshnessReport, FreshnessReportSchema } from './gen/lavenderturn/v1/control_pb'
import { type Heartbeat, HeartbeatSchema } from './gen/lavenderturn/v1/membership_pb'

/**
 * Encodes a freshness report. Ages are rounded up, because an age that is too low would let nodes use an outdated
 * revision for longer.
 *
 * @param report - the report
 * @returns the message
 * @public
 */
export function encodeFreshness ({ heartbeats, headReadAge, revision, assignmentChanges }: Report): FreshnessReport {
  return create(FreshnessReportSchema, {
    heartbeats: encodeHeartbeats(heartbeats),
    headReadAgeMs: headReadAge === undefined ? undefined : Math.ceil(headReadAge),
    revision: BigInt(revision),
    assignmentChanges: encodeAssignment(assignmentChanges)
  })
}

/**
 * Decodes a freshness report.
 *
 * @param message - the message
 * @returns the report
 * @public
 */
export function decodeFreshness (message: FreshnessReport): Report {
  return {
    heartbeats: decodeHeartbeats(message.heartbeats),
    headReadAge: message.headReadAgeMs,
    revision: toId(Number(message.revision)),
    assignmentChanges: decodeAssignment(message.assignmentChanges)
  }
}

/**
 * Encodes heartbeats, with their ages rounded up.
 *
 * @param heartbeats - heartbeats with their ages
 * @returns one message per heartbeat
 * @public
 */
export function encodeHeartbeats (heartbeats: readonly HeartbeatReport[]): Heartbeat[] {
  return heartbeats.map(({ dataCentre, ageMillis, revision, members }) => create(HeartbeatSchema, {
    dataCentre, ageMs: Math.ceil(ageMillis), revision: BigInt(revision), members
  }))
}

/**
 * Decodes heartbeats.
 *
 * @param messages - one message per heartbeat
 * @returns heartbeats with their ages
 * @public
 */
export function decodeHeartbeats (messages: readonly Heartbeat[]): HeartbeatReport[] {
  return messages.map(({ dataCentre, ageMs, revision, members }) => ({
    dataCentre: toId(dataCentre), ageMillis: ageMs, revision: toId(Number(revision)), members
  }))
}
