import type { NodeEvent, OutwardEffect } from '@lavenderturn/decisions'
import type { AttemptId, EndpointId, RequestId, TeamId } from '@lavenderturn/types'
import type { JournalRecord } from './JournalRecord'

/**
 * Fields that go into a record. The list is closed, because a path, a header or a body can hold a caller's key, and a
 * field that somebody adds later must not bring one into the journal.
 */
const DETAIL_FIELDS: ReadonlySet<string> = new Set([
  'bodyBytes', 'bootId', 'code', 'complete', 'epoch', 'hold', 'kind', 'keyInTarget', 'message', 'method', 'node',
  'nodeId', 'partition', 'ready', 'reason', 'replayable', 'result', 'revision', 'route', 'run',
  'sent', 'sequence', 'service', 'slots', 'state', 'status', 'timeout'
])

type Described = Pick<JournalRecord, 'attempt' | 'detail' | 'endpoint' | 'name' | 'request' | 'team'>

/** Field names of events and effects, which differ from one type to another. */
type Fields = Readonly<Record<string, unknown>>

/**
 * Describes an event or an effect for the journal.
 *
 * @param source - the event or effect
 * @returns what the journal keeps of it
 * @internal
 */
export function describeRecord (source: NodeEvent | OutwardEffect): Described {
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
