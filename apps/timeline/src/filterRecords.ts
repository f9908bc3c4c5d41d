import type { MergedRecord } from './MergeState'

/** Conditions on a record; absent ones match every record. @public */
export interface RecordFilter {
  readonly request?: string
  readonly team?: string
  readonly endpoint?: string
  readonly dataCentre?: string
}

/** Attributes of an attempt, collected from all of its records. */
interface AttemptAttributes {
  request?: string
  team?: string
  endpoint?: string
}

/**
 * Filters records. A record also matches by attributes that it lacks itself: the record of an admission has only the
 * attempt, and the request and team of this attempt are taken from the records of the gateway.
 *
 * @param records - merged records
 * @param filter - conditions, all of which must hold
 * @returns the matching records, in the same order
 * @public
 */
export function filterRecords (records: readonly MergedRecord[], filter: RecordFilter): MergedRecord[] {
  const attempts = collectAttempts(records)
  const teams = collectTeams(records, attempts)
  return records.filter((record) => {
    const attributes = record.attempt === undefined ? undefined : attempts.get(record.attempt)
    const request = record.request ?? attributes?.request
    const team = record.team ?? attributes?.team ?? (request === undefined ? undefined : teams.get(request))
    return matchesFilter(filter.request, request) &&
      matchesFilter(filter.team, team) &&
      matchesFilter(filter.endpoint, record.endpoint ?? attributes?.endpoint) &&
      matchesFilter(filter.dataCentre, record.dataCentre)
  })
}

function matchesFilter (expected: string | undefined, actual: string | undefined): boolean {
  return expected === undefined || expected === actual
}

function collectAttempts (records: readonly MergedRecord[]): ReadonlyMap<string, AttemptAttributes> {
  const attempts = new Map<string, AttemptAttributes>()
  for (const { attempt, request, team, endpoint } of records) {
    if (attempt === undefined) continue
    const attributes = attempts.get(attempt) ?? {}
    attributes.request ??= request
    attributes.team ??= team
    attributes.endpoint ??= endpoint
    attempts.set(attempt, attributes)
  }
  return attempts
}

function collectTeams (
  records: readonly MergedRecord[],
  attempts: ReadonlyMap<string, AttemptAttributes>
): ReadonlyMap<string, string> {
  const teams = new Map<string, string>()
  for (const { request, team } of records) if (request !== undefined && team !== undefined) teams.set(request, team)
  for (const { request, team } of attempts.values()) {
    if (request !== undefined && team !== undefined) teams.set(request, team)
  }
  return teams
}
