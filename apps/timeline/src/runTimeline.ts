import type { JournalPage, TimelineSettings } from '@lavenderturn/runtime'
import type { Address } from '@lavenderturn/types'
import { request } from 'undici'
import { explainRequest } from './explainRequest'
import { formatJson, formatMissing, formatRecord } from './formatRecord'
import { createMergeState, type MergedTimeline } from './MergeState'
import { type MergeEffect, type MergeEvent, reduceMerge } from './reduceMerge'
import { filterRecords } from './filterRecords'

/** A page of 32,768 records takes a fraction of a second on the same machine. */
const FETCH_TIMEOUT_MS = 10_000

/** Exit code if the journal of a node could not be read. */
const INCOMPLETE_EXIT_CODE = 1

/**
 * Fetches and merges the journals of nodes, and prints the selected records.
 *
 * @param settings - addresses of the nodes, filters and output format
 * @param write - called with each line
 * @returns the exit code
 * @public
 */
export async function runTimeline (settings: TimelineSettings, write: (line: string) => void): Promise<number> {
  const timeline = await mergeTimelines(settings.addresses)
  for (const line of renderTimeline(timeline, settings)) write(line)
  return timeline.failures.length > 0 ? INCOMPLETE_EXIT_CODE : 0
}

/**
 * Formats a merged timeline.
 *
 * @param timeline - the merged timeline
 * @param settings - filters and output format
 * @returns the lines
 * @public
 */
export function renderTimeline (timeline: MergedTimeline, settings: Omit<TimelineSettings, 'addresses'>): string[] {
  const missing = formatMissing(timeline)
  if (settings.explain !== undefined) return [...explainRequest(timeline.records, settings.explain), ...missing]
  const filtered = filterRecords(timeline.records, settings)
  if (!settings.json) return [...filtered.map(formatRecord), ...missing]
  return [...filtered.map(formatJson), ...missing.map((line) => JSON.stringify({ missing: line }))]
}

async function mergeTimelines (addresses: readonly Address[]): Promise<MergedTimeline> {
  const state = createMergeState()
  return await new Promise((resolve) => {
    const dispatch = (event: MergeEvent): void => { for (const effect of reduceMerge(state, event)) run(effect) }
    const run = (effect: MergeEffect): void => {
      if (effect.type === 'report') resolve(effect.timeline)
      else void fetchPage(effect.address).then(dispatch)
    }
    dispatch({ type: 'started', addresses })
  })
}

async function fetchPage (address: Address): Promise<MergeEvent> {
  try {
    const response = await request(`http://${address}/timeline`, {
      headersTimeout: FETCH_TIMEOUT_MS, bodyTimeout: FETCH_TIMEOUT_MS
    })
    const page = await response.body.json() as JournalPage
    if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`)
    return { type: 'pageFetched', address, page }
  } catch (err) {
    return { type: 'fetchFailed', address, problem: err instanceof Error ? err.message : String(err) }
  }
}
