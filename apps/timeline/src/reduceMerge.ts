import { compareHybridTimes, type JournalPage } from '@lavenderturn/runtime'
import type { Address } from '@lavenderturn/types'
import type { FetchFailure, SequenceGap, MergedRecord, MergedTimeline, MergeState } from './MergeState'

/** Input of the merge reducer. @public */
export type MergeEvent =
  | { readonly type: 'started', readonly addresses: readonly Address[] }
  | { readonly type: 'pageFetched', readonly address: Address, readonly page: JournalPage }
  | { readonly type: 'fetchFailed' } & FetchFailure

/** Side effects that the merge reducer requests. @public */
export type MergeEffect =
  | { readonly type: 'fetch', readonly address: Address }
  | { readonly type: 'report', readonly timeline: MergedTimeline }

/**
 * Merges the journals of several nodes. Records are ordered by hybrid time, in which a cause precedes its effects.
 *
 * @param state - state, updated in place
 * @param event - event to apply
 * @returns the fetches to start, or the merged timeline
 * @public
 */
export function reduceMerge (state: MergeState, event: MergeEvent): MergeEffect[] {
  switch (event.type) {
    case 'started':
      for (const address of event.addresses) state.waiting.add(address)
      return [...state.waiting].map((address) => ({ type: 'fetch', address }))
    case 'pageFetched':
      state.pages.push(event.page)
      return completeFetch(state, event.address)
    case 'fetchFailed':
      state.failures.push({ address: event.address, problem: event.problem })
      return completeFetch(state, event.address)
  }
}

function completeFetch (state: MergeState, address: Address): MergeEffect[] {
  state.waiting.delete(address)
  if (state.waiting.size > 0) return []
  const records = state.pages.flatMap(({ node, dataCentre, records }) => {
    return records.map((record): MergedRecord => ({ ...record, node, dataCentre }))
  })
  records.sort(compareRecords)
  return [{ type: 'report', timeline: { records, gaps: state.pages.flatMap(findGaps), failures: state.failures } }]
}

function compareRecords (a: MergedRecord, b: MergedRecord): number {
  return compareHybridTimes(a.time, b.time) || a.node.localeCompare(b.node) || a.seq - b.seq
}

function findGaps ({ node, nextSeq, records }: JournalPage): SequenceGap[] {
  const gaps: SequenceGap[] = []
  let expected = 0
  for (const { seq } of records) {
    if (seq > expected) gaps.push({ node, firstSeq: expected, lastSeq: seq - 1 })
    expected = seq + 1
  }
  if (expected < nextSeq) gaps.push({ node, firstSeq: expected, lastSeq: nextSeq - 1 })
  return gaps
}
