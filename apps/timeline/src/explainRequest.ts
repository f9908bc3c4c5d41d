import { formatTime } from './formatRecord'
import type { MergedRecord } from './MergeState'
import { filterRecords } from './filterRecords'

type DescribeRecord = (record: MergedRecord) => string

/** Descriptions of records, by record name. Records with other names are printed by kind and name. */
const DESCRIPTIONS: Readonly<Record<string, DescribeRecord>> = {
  'gateway/requestArrived': ({ detail }) => `${detail.method} arrived with ${detail.bodyBytes} bytes of body`,
  'gateway/forward': ({ attempt, endpoint, detail }) => {
    return `attempt ${attempt} sent to ${endpoint} on ${detail.node}, ${Math.round(Number(detail.timeout))} ms left`
  },
  'gateway/forwardAnswered': ({ attempt, detail }) => `attempt ${attempt} answered with status ${detail.status}`,
  'gateway/forwardRefused': ({ attempt, detail }) => `attempt ${attempt} refused: ${detail.result}, not run`,
  'gateway/forwardFailed': ({ attempt, detail }) => {
    const reached = detail.sent === true ? 'it may have run' : 'it was not sent'
    return `attempt ${attempt} failed: ${detail.reason}, ${reached}`
  },
  'gateway/cancelForward': ({ attempt }) => `attempt ${attempt} dropped`,
  'gateway/refuse': ({ detail }) => `refused to the caller: ${detail.result}, run ${detail.run}`,
  'gateway/relay': () => 'answer goes to the caller',
  'gateway/answerEnded': ({ detail }) => {
    return detail.complete === true ? 'the caller has the whole answer' : 'the answer broke off'
  },
  'gateway/callerGone': () => 'the caller went away',
  'gateway/deadlinePassed': () => 'the deadline passed',
  'admission/workArrived': ({ attempt, endpoint }) => `attempt ${attempt} arrived for ${endpoint}`,
  'admission/dispatch': ({ attempt, endpoint }) => `attempt ${attempt} dispatched to ${endpoint}`,
  'admission/reject': ({ attempt, detail }) => `attempt ${attempt} handed back: ${detail.result}, not run`,
  'admission/workCancelled': ({ attempt }) => `attempt ${attempt} cancelled by the gateway`,
  'admission/cancelDispatch': ({ attempt }) => `attempt ${attempt} cancelled at the backend server`,
  'admission/workEnded': ({ attempt, detail }) => {
    const { kind, status, reason, process } = detail
    const how = kind === 'answered' ? `answered with status ${status}` : `${kind}${reason === undefined ? '' : `: ${reason}`}`
    return `attempt ${attempt} ended: ${how}${process === undefined ? '' : `, process ${process}`}`
  }
}

/** Names of the records that end a request at its gateway. */
const FINAL_RECORDS = new Set(['gateway/answerEnded', 'gateway/callerGone', 'gateway/refuse'])

/**
 * Describes one request from its arrival to its response, one line per record.
 *
 * @param records - all merged records
 * @param request - id of the request
 * @returns the lines; the last ones list missing records
 * @public
 */
export function explainRequest (records: readonly MergedRecord[], request: string): string[] {
  const filtered = filterRecords(records, { request })
  if (filtered.length === 0) return [`records missing: no node has a record of request ${request}`]
  const lines = filtered.map((record) => {
    const description = DESCRIPTIONS[record.name]?.(record) ?? `${record.kind} ${record.name}`
    return `${formatTime(record)} ${record.node} (${record.dataCentre}): ${description}`
  })
  return [`request ${request}`, ...lines, ...describeMissingRecords(filtered)]
}

function describeMissingRecords (filtered: readonly MergedRecord[]): string[] {
  const missing: string[] = []
  const arrived = new Set(filtered.filter(({ name }) => name === 'admission/workArrived').map(({ attempt }) => attempt))
  if (!filtered.some(({ name }) => name === 'gateway/requestArrived')) missing.push('records missing: the arrival')
  for (const { name, attempt, detail } of filtered) {
    if (name !== 'gateway/forward' || arrived.has(attempt)) continue
    missing.push(`records missing: ${detail.node} has no record of attempt ${attempt}`)
  }
  if (!filtered.some(({ name }) => FINAL_RECORDS.has(name))) missing.push('records missing: the end, or it has not ended yet')
  return missing
}
