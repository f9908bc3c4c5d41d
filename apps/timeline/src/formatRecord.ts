import { formatHybridTime } from '@lavenderturn/runtime'
import type { SequenceGap, MergedRecord, MergedTimeline } from './MergeState'

/**
 * Formats a record as one line of text.
 *
 * @param record - the record
 * @returns time, data centre, node, kind, name and fields
 * @public
 */
export function formatRecord (record: MergedRecord): string {
  const { node, dataCentre, kind, name, request, attempt, team, endpoint, detail } = record
  const fields = Object.entries({ request, attempt, team, endpoint, ...detail })
    .filter(([, value]) => value !== undefined)
    .map(([field, value]) => ` ${field}=${String(value)}`)
  return `${formatTime(record)} ${dataCentre} ${node} ${kind} ${name}${fields.join('')}`
}

/**
 * @param record - a record
 * @returns its wall time in UTC and its counter, which orders records of the same millisecond
 * @public
 */
export function formatTime ({ time }: MergedRecord): string {
  return `${new Date(time.wallMs).toISOString()}+${time.counter}`
}

/**
 * Describes missing records.
 *
 * @param timeline - the merged timeline
 * @returns one line per gap and per node that could not be read
 * @public
 */
export function formatMissing ({ gaps, failures }: MergedTimeline): string[] {
  return [
    ...gaps.map((gap) => `records missing: ${describeGap(gap)}`),
    ...failures.map(({ address, problem }) => `records missing: no answer from ${address} (${problem})`)
  ]
}

function describeGap ({ node, firstSeq, lastSeq }: SequenceGap): string {
  return `${node} numbers ${firstSeq} to ${lastSeq} are not held any more`
}

/**
 * Formats a record as JSON.
 *
 * @param record - the record
 * @returns one line
 * @public
 */
export function formatJson (record: MergedRecord): string {
  return JSON.stringify({ ...record, time: formatHybridTime(record.time) })
}
