import type { MergedRecord } from './MergeState'

/** @public */
export interface Selection {
  readonly request?: string
  readonly team?: string
  readonly endpoint?: string
  readonly dataCentre?: string
}

/** What the records of an attempt say of it, all together. */
interface AttemptFacts {
  request?: string
  team?: string
  endpoint?: string
}

/**
 * Selects records. A record need not name what is asked for itself: an admission's record names the attempt, and the
 * gateway's records tell whose attempt it is.
 *
 * @param records - merged records
 * @param selection - what to keep; all conditions must hold
 * @returns the records that are kept, in the same order
 * @public
 */
export function selectRecords (records: readonly MergedRecord[], selection: Selection): MergedRecord[] {
  const attempts = collectAttempts(records)
  const teams = collectTeams(records, attempts)
  return records.filter((record) => {
    const facts = record.attempt === undefined ? undefined : attempts.get(record.attempt)
    const request = record.request ?? facts?.request
    const team = record.team ?? facts?.team ?? (request === undefined ? undefined : teams.get(request))
    return matches(selection.request, request) &&
      matches(selection.team, team) &&
      matches(selection.endpoint, record.endpoint ?? facts?.endpoint) &&
      matches(selection.dataCentre, record.dataCentre)
  })
}

function matches (wanted: string | undefined, found: string | undefined): boolean {
  return wanted === undefined || wanted === found
}

function collectAttempts (records: readonly MergedRecord[]): ReadonlyMap<string, AttemptFacts> {
  const attempts = new Map<string, AttemptFacts>()
  for (const { attempt, request, team, endpoint } of records) {
    if (attempt === undefined) continue
    const facts = attempts.get(attempt) ?? {}
    facts.request ??= request
    facts.team ??= team
    facts.endpoint ??= endpoint
    attempts.set(attempt, facts)
  }
  return attempts
}

function collectTeams (
  records: readonly MergedRecord[],
  attempts: ReadonlyMap<string, AttemptFacts>
): ReadonlyMap<string, string> {
  const teams = new Map<string, string>()
  for (const { request, team } of records) if (request !== undefined && team !== undefined) teams.set(request, team)
  for (const { request, team } of attempts.values()) {
    if (request !== undefined && team !== undefined) teams.set(request, team)
  }
  return teams
}
