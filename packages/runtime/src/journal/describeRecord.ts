import type { NodeEvent, RuntimeEffect } from '@lavenderturn/decisions'
import type { AttemptId, EndpointId, RequestId, TeamId } from '@lavenderturn/types'
import type { JournalRecord } from './JournalRecord'

/**
 * Fields that are copied into a record. This is an allowlist, because a path, a header or a body can contain a caller's
 * key, and fields that are added to events later must not leak one into the journal.
 */
const DETAIL_FIELDS: ReadonlySet<string> = new Set([
  'bodyBytes', 'bootId', 'code', 'complete', 'epoch', 'hold', 'kind', 'keyInTarget', 'message', 'method', 'node',
  'nodeId', 'partition', 'ready', 'reason', 'replayable', 'result', 'revision', 'route', 'run',
  'sent', 'sequence', 'service', 'slots', 'state', 'status', 'timeout'
])

type RecordContent = Pick<JournalRecord, 'attempt' | 'detail' | 'endpoint' | 'name' | 'request' | 'team'>

/** An event or effect as a record of fields, which depend on its type. */
type Fields = Readonly<Record<string, unknown>>

/**
 * Extracts the content of a journal record from an event or an effect.
 *
 * @param source - the event or effect
 * @returns the content of the record
 * @internal
 */
export function describeRecord (source: NodeEvent | RuntimeEffect): RecordContent {
  const fields = source as unknown as Fields
  const detail: Record<string, string | number | boolean> = {}
  collectDetail(fields, detail)
  if (isFields(fields.outcome)) collectDetail(fields.outcome, detail)
  if (isFields(fields.record)) collectDetail(fields.record, detail)
  if (isFields(fields.document)) collectDetail(fields.document, detail)
  if (source.slice === 'log') Object.assign(detail, source.fields)
  return {
    name: `${source.slice}/${source.type}`,
    request: fields.requestId as RequestId | undefined,
    attempt: fields.attemptId as AttemptId | undefined,
    team: fields.team as TeamId | undefined,
    endpoint: fields.endpoint as EndpointId | undefined,
    detail
  }
}

function collectDetail (fields: Fields, detail: Record<string, string | number | boolean>): void {
  for (const name in fields) {
    if (!DETAIL_FIELDS.has(name)) continue
    const value = fields[name]
    if (typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean') detail[name] = value
  }
}

function isFields (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null
}
