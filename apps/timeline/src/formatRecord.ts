import { formatHybridTime } from '@lavenderturn/runtime'
import type { Gap, MergedRecord, MergedTimeline } from './MergeState'

/**
 * Writes a record as one line.
 *
 * @param record - the record
 * @returns time, node, name and fields
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
 * @returns its time in UTC, with the counter that orders records of the same millisecond
 * @public
 */
export function formatTime ({ time }: MergedRecord): string {
  return `${new Date(time.wallMs).toISOString()}+${time.counter}`
}

/**
 * Says where records are missing.
 *
 * @param timeline - the merged time line
 * @returns one line for each gap and each node that could not be read
 * @public
 */
export function formatMissing ({ gaps, failures }: MergedTimeline): string[] {
  return [
    ...gaps.map((gap) => `records missing: ${describeGap(gap)}`),
    ...failures.map(({ address, problem }) => `records missing: no answer from ${address} (${problem})`)
  ]
}

function describeGap ({ node, firstSeq, lastSeq }: Gap): string {
  return `${node} numbers ${firstSeq} to ${lastSeq} are not held any more`
}

/**
 * Writes a record as JSON.
 *
 * @param record - the record
 * @returns one line
 * @public
 */
export function formatJson (record: MergedRecord): string {
  return JSON.stringify({ ...record, time: formatHybridTime(record.time) })
}
