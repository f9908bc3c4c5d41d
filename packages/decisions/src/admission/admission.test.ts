import { makeAnnouncement, makeDocument, makeState, makeWork, runSession, type SessionEvent } from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { createEvent } from '../createEvent'
import type { EventBody } from '../NodeEvent'
import type { NodeState } from '../NodeState'
import { isSuspect } from '../quarantine/isQuarantined'
import { reduce } from '../reduce'

function makeDocumentAccepted (revision: number, dataCentre: 'in' | 'out' = 'in'): EventBody {
  const document = makeDocument({ revision, dataCentres: new Map([[toId('dc-1'), dataCentre]]) })
  return { slice: 'control', type: 'documentAccepted', document }
}

function makeWorkEnded (attempt: string, outcome: Extract<EventBody, { type: 'workEnded' }>['outcome']): EventBody {
  return { slice: 'admission', type: 'workEnded', attemptId: toId(attempt), outcome }
}

const reset = { kind: 'failed', reason: 'reset', sent: true } as const
const answered = { kind: 'answered', status: 200 } as const

/** Applies a session's events and lists the outcomes of its attempts. */
function listOutcomes (state: NodeState, events: readonly SessionEvent[]): string[] {
  return events.flatMap(([at, body]) => reduce(state, createEvent(body, millis(at)))).flatMap((effect) => {
    if (effect.slice !== 'admission') return []
    return [effect.type === 'reject' ? `${effect.attemptId} ${effect.result}` : `${effect.attemptId} ${effect.type}`]
  })
}

describe('admission', () => {
  // Guards against: unintended changes of behaviour.
  it('handles a session with a queue, a data centre that is taken out and returns, a drain and a crash', async () => {
    const session = runSession(makeState(), [
      [0, makeDocumentAccepted(1)],
      [0, makeAnnouncement()],
      [10, makeWork('a1')],
      [11, makeWork('a2', { team: toId('kite') })],
      [12, makeWork('a3')],
      [30, makeWorkEnded('a1', answered)],
      [40, makeDocumentAccepted(2, 'out')],
      [41, makeWork('a4')],
      [45, makeWorkEnded('a2', answered)],
      [60, makeDocumentAccepted(3)],
      [61, makeWork('a5')],
      [62, makeWork('a6')],
      [70, makeAnnouncement({ state: 'draining' })],
      [71, makeWork('a7')],
      [80, makeAnnouncement()],
      [85, makeWorkEnded('a5', reset)],
      [86, { slice: 'admission', type: 'serverProbed', endpoint: toId('endpoint-a'), accepted: false }],
      [87, makeWork('a8')],
      [90, makeAnnouncement({ bootId: toId('boot-2') })],
      [91, makeWork('a9')]
    ])
    await expect(session.replaceAll(/"document":.*$/gm, '"document":…')).toMatchFileSnapshot('__golden__/session.txt')
  })

  // Guards against: a withdrawn key that still works after 3 s because its request was queued, also when the timers are
  // late after a pause of the process (I4).
  it('rejects work that was queued for 2.5 s instead of dispatching it', () => {
    const state = makeState()
    const events: SessionEvent[] = [[0, makeDocumentAccepted(1)], [0, makeAnnouncement()], [0, makeWork('a1')], [1, makeWork('a2')]]
    expect(listOutcomes(state, [...events, [2_600, makeWorkEnded('a1', answered)]])).toEqual(['a1 dispatch', 'a2 unconfirmed'])
  })

  // Guards against: a single broken connection that counts as a crash, and a crash that counts as a broken connection.
  it.each([[true, false], [false, true]])('marks requests after a reset when a probe is accepted: %s', (accepted, marked) => {
    const state = makeState()
    listOutcomes(state, [
      [0, makeDocumentAccepted(1)],
      [0, makeAnnouncement()],
      [1, makeWork('a1')],
      [5, makeWorkEnded('a1', reset)],
      [6, { slice: 'admission', type: 'serverProbed', endpoint: toId('endpoint-a'), accepted }]
    ])
    expect(isSuspect(state, toId('print-a1'))).toBe(marked)
  })

  // Guards against: an unknown outcome reported for work that the backend server cannot have received.
  it('rejects work as not run when the backend server refuses the connection', () => {
    const state = makeState()
    const refused = { kind: 'failed', reason: 'connect', sent: false } as const
    expect(listOutcomes(state, [
      [0, makeDocumentAccepted(1)], [0, makeAnnouncement()], [1, makeWork('a1')], [1, makeWork('a2')], [2, makeWorkEnded('a1', refused)]
    ])).toEqual(['a1 dispatch', 'a1 noEndpoint', 'a2 noEndpoint'])
    expect(isSuspect(state, toId('print-a1'))).toBe(false)
  })

  // Guards against: requests marked for an earlier crash, because the new boot id of a restarted server becomes known
  // only after they were dispatched to it.
  it('marks no request that was dispatched after the restart that followed a crash', () => {
    const state = makeState()
    listOutcomes(state, [
      [0, makeDocumentAccepted(1)],
      [0, makeAnnouncement()],
      [1, makeWork('a1')],
      [5, makeWorkEnded('a1', reset)],
      [6, { slice: 'admission', type: 'serverProbed', endpoint: toId('endpoint-a'), accepted: false }],
      [900, { slice: 'admission', type: 'serverProbed', endpoint: toId('endpoint-a'), accepted: true }],
      [901, makeWork('a2')],
      [902, makeAnnouncement({ bootId: toId('boot-2') })]
    ])
    expect(['print-a1', 'print-a2'].map((print) => isSuspect(state, toId(print)))).toEqual([true, false])
  })

  // Guards against: a few teams that fill the whole queue, so that the work of other teams is rejected.
  it('drops work from the longest queue when the queues are full', () => {
    const state = makeState()
    const queueFilling = ['t1', 't2', 't3', 't4'].flatMap((team) => Array.from({ length: 64 }, (_, index): SessionEvent => {
      return [1, makeWork(`${team}-${index}`, { team: toId(team) })]
    }))
    const before = listOutcomes(state, [[0, makeDocumentAccepted(1)], [0, makeAnnouncement()], [0, makeWork('first')], ...queueFilling])
    expect(before).toEqual(['first dispatch'])
    expect(listOutcomes(state, [[2, makeWork('late', { team: toId('kite') })]])).toEqual(['t1-63 queueFull'])
    expect(listOutcomes(state, [[3, makeWork('t2-65', { team: toId('t2') })]])).toEqual(['t2-65 queueFull'])
  })
})
