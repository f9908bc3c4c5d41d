import type { JournalPage, TimelineSettings } from '@lavenderturn/runtime'
import type { Address } from '@lavenderturn/types'
import { request } from 'undici'
import { explainRequest } from './explainRequest'
import { formatJson, formatMissing, formatRecord } from './formatRecord'
import { createMergeState, type MergedTimeline } from './MergeState'
import { type MergeEffect, type MergeEvent, reduceMerge } from './reduceMerge'
import { selectRecords } from './selectRecords'

/** A node on the same machine answers at once; a page of 32,768 records takes a fraction of a second. */
const FETCH_TIMEOUT_MS = 10_000

/** Exit code when a node could not be read. */
const INCOMPLETE_EXIT_CODE = 1

/**
 * Reads the journals of nodes and prints what was asked for.
 *
 * @param settings - nodes and what to show
 * @param write - takes the lines
 * @returns the exit code
 * @public
 */
export async function runTimeline (settings: TimelineSettings, write: (line: string) => void): Promise<number> {
  const timeline = await mergeTimelines(settings.addresses)
  for (const line of render(timeline, settings)) write(line)
  return timeline.failures.length > 0 ? INCOMPLETE_EXIT_CODE : 0
}

/**
 * Writes a merged time line as lines.
 *
 * @param timeline - what was read
 * @param settings - what to show, and how
 * @returns the lines
 * @public
 */
export function render (timeline: MergedTimeline, settings: Omit<TimelineSettings, 'addresses'>): string[] {
  const missing = formatMissing(timeline)
  if (settings.explain !== undefined) return [...explainRequest(timeline.records, settings.explain), ...missing]
  const selected = selectRecords(timeline.records, settings)
  if (!settings.json) return [...selected.map(formatRecord), ...missing]
  return [...selected.map(formatJson), ...missing.map((line) => JSON.stringify({ missing: line }))]
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
