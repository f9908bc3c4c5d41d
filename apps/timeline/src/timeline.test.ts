import { createMergeState, type MergedTimeline } from './MergeState'
import { type JournalPage, type JournalRecord } from '@lavenderturn/runtime'
import { type Address, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { reduceMerge } from './reduceMerge'
import { renderTimeline } from './runTimeline'

const START_MS = Date.UTC(2026, 0, 1, 12)

interface RecordOptions extends Partial<Omit<JournalRecord, 'request' | 'attempt' | 'team' | 'endpoint'>> {
  readonly ms: number
  readonly counter?: number
  readonly request?: string
  readonly attempt?: string
  readonly team?: string
  readonly endpoint?: string
}

function makeRecord ({ ms, counter = 0, kind = 'event', detail = {}, ...rest }: RecordOptions): JournalRecord {
  return { time: { wallMs: START_MS + ms, counter }, kind, detail, ...rest } as JournalRecord
}

function makePage (node: string, records: readonly JournalRecord[], options: Partial<JournalPage> = {}): JournalPage {
  const numbered = records.map((record, seq) => ({ ...record, seq: record.seq ?? seq }))
  const nextSeq = (numbered.at(-1)?.seq ?? -1) + 1
  return {
    node: toId(node), dataCentre: toId(`dc-of-${node}`), startedAtMs: START_MS, firstSeq: 0, nextSeq, records: numbered, ...options
  }
}

/** Journals of a request with two attempts, the first of which a draining server rejects, and of a second request. */
function makePages (): JournalPage[] {
  const first = { request: 'r1', attempt: 'n1/0', endpoint: 'stock-a' }
  const second = { request: 'r1', attempt: 'n1/1', endpoint: 'stock-b' }
  return [
    makePage('n1', [
      makeRecord({ ms: 0, name: 'gateway/requestArrived', request: 'r1', detail: { method: 'POST', bodyBytes: 12 } }),
      makeRecord({ ms: 0, counter: 1, kind: 'effect', name: 'gateway/forward', team: 'fes', ...first, detail: { node: 'n2', timeout: 5000 } }),
      makeRecord({ ms: 3, name: 'gateway/requestArrived', request: 'r2', detail: { method: 'GET', bodyBytes: 0 } }),
      makeRecord({ ms: 3, counter: 1, kind: 'effect', name: 'gateway/refuse', request: 'r2', detail: { result: 'unknownKey', run: 'not-run' } }),
      makeRecord({ ms: 4, counter: 6, name: 'gateway/forwardRefused', request: 'r1', attempt: 'n1/0', detail: { result: 'draining' } }),
      makeRecord({ ms: 4, counter: 7, kind: 'effect', name: 'gateway/forward', team: 'fes', ...second, detail: { node: 'n3', timeout: 4996 } }),
      makeRecord({ ms: 20, name: 'gateway/forwardAnswered', request: 'r1', attempt: 'n1/1', detail: { status: 200 } }),
      makeRecord({ ms: 20, counter: 1, kind: 'effect', name: 'gateway/relay', request: 'r1', attempt: 'n1/1' }),
      makeRecord({ ms: 21, name: 'gateway/answerEnded', request: 'r1', detail: { complete: true } })
    ]),
    // The wall clock of n2 is behind; its hybrid clock was advanced by the time in the header from the gateway.
    makePage('n2', [
      makeRecord({ ms: 0, counter: 4, name: 'admission/workArrived', team: 'fes', attempt: 'n1/0', endpoint: 'stock-a', seq: 40 }),
      makeRecord({ ms: 0, counter: 5, kind: 'effect', name: 'admission/reject', attempt: 'n1/0', detail: { result: 'draining' }, seq: 41 })
    ], { firstSeq: 40 })
  ]
}

function merge (pages: readonly JournalPage[], failing: readonly Address[] = []): MergedTimeline {
  const state = createMergeState()
  const addresses = pages.map((_, index) => toId<Address>(`127.0.0.1:${index + 1}`))
  reduceMerge(state, { type: 'started', addresses: [...addresses, ...failing] })
  for (const address of failing) reduceMerge(state, { type: 'fetchFailed', address, problem: 'refused' })
  const effects = pages.map((page, index) => reduceMerge(state, { type: 'pageFetched', address: addresses[index]!, page }))
  const [effect] = effects.at(-1)!
  if (effect?.type !== 'report') throw new Error('no report')
  return effect.timeline
}

describe('lavenderturn-timeline', () => {
  const timeline = merge(makePages(), [toId('127.0.0.1:9')])

  it.each([
    ['all', {}],
    ['explain', { explain: 'r1' }],
    ['explain-unknown', { explain: 'r9' }],
    ['request', { request: 'r1' }],
    ['team', { team: 'fes' }],
    ['endpoint', { endpoint: 'stock-b' }],
    ['data-centre', { dataCentre: 'dc-of-n2' }],
    ['json', { request: 'r2', json: true }]
  ])('matches the golden file: %s', async (name, settings) => {
    const none = { request: undefined, team: undefined, endpoint: undefined, dataCentre: undefined, explain: undefined }
    const lines = renderTimeline(timeline, { ...none, json: false, ...settings })
    await expect(`${lines.join('\n')}\n`).toMatchFileSnapshot(`__golden__/${name}.txt`)
  })

  it('merges pages to the same timeline regardless of their order of arrival', () => {
    expect(merge(makePages().reverse()).records).toEqual(merge(makePages()).records)
  })

  it('reports gaps in the middle and at the end of a journal', () => {
    const record = (seq: number) => makeRecord({ ms: seq, name: 'log/stateChanged', seq })
    const { gaps } = merge([makePage('n1', [record(0), record(3)], { nextSeq: 6 })])
    expect(gaps).toEqual([
      { node: 'n1', firstSeq: 1, lastSeq: 2 }, { node: 'n1', firstSeq: 4, lastSeq: 5 }
    ])
  })
})
