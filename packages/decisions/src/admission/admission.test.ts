import { makeAnnouncement, makeDocument, makeState, makeWork, runSession, type SessionEvent } from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { createEvent } from '../createEvent'
import type { EventBody } from '../NodeEvent'
import type { NodeState } from '../NodeState'
import { isSuspect } from '../quarantine/isQuarantined'
import { reduce } from '../reduce'

function accept (revision: number, dataCentre: 'in' | 'out' = 'in'): EventBody {
  const document = makeDocument({ revision, dataCentres: new Map([[toId('dc-1'), dataCentre]]) })
  return { slice: 'control', type: 'documentAccepted', document }
}

function end (attempt: string, outcome: Extract<EventBody, { type: 'workEnded' }>['outcome']): EventBody {
  return { slice: 'admission', type: 'workEnded', attemptId: toId(attempt), outcome }
}

const reset = { kind: 'failed', reason: 'reset', sent: true } as const
const answered = { kind: 'answered', status: 200 } as const

/** Runs a session and lists what became of the attempts. */
function play (state: NodeState, events: readonly SessionEvent[]): string[] {
  return events.flatMap(([at, body]) => reduce(state, createEvent(body, millis(at)))).flatMap((effect) => {
    if (effect.slice !== 'admission') return []
    return [effect.type === 'reject' ? `${effect.attemptId} ${effect.result}` : `${effect.attemptId} ${effect.type}`]
  })
}

describe('the admission', () => {
  // Guards against: a change of what the admission does that nobody intended.
  it('handles a session with a queue, a data centre that leaves and returns, a drain and a crash', async () => {
    const session = runSession(makeState(), [
      [0, accept(1)],
      [0, makeAnnouncement()],
      [10, makeWork('a1')],
      [11, makeWork('a2', { team: toId('kite') })],
      [12, makeWork('a3')],
      [30, end('a1', answered)],
      [40, accept(2, 'out')],
      [41, makeWork('a4')],
      [45, end('a2', answered)],
      [60, accept(3)],
      [61, makeWork('a5')],
      [62, makeWork('a6')],
      [70, makeAnnouncement({ state: 'draining' })],
      [71, makeWork('a7')],
      [80, makeAnnouncement()],
      [85, end('a5', reset)],
      [86, { slice: 'admission', type: 'serverProbed', endpoint: toId('endpoint-a'), accepted: false }],
      [87, makeWork('a8')],
      [90, makeAnnouncement({ bootId: toId('boot-2') })],
      [91, makeWork('a9')]
    ])
    await expect(session.replaceAll(/"document":.*$/gm, '"document":…')).toMatchFileSnapshot('__golden__/session.txt')
  })

  // Guards against: a withdrawn key that still works after 3 s because its request was in a queue, also when the
  // process was paused and its timers are late (I4).
  it('hands back what waited 2.5 s and never dispatches it', () => {
    const state = makeState()
    const events: SessionEvent[] = [[0, accept(1)], [0, makeAnnouncement()], [0, makeWork('a1')], [1, makeWork('a2')]]
    expect(play(state, [...events, [2_600, end('a1', answered)]])).toEqual(['a1 dispatch', 'a2 unconfirmed'])
  })

  // Guards against: a single broken connection that is taken for a crash, and a crash that is taken for one.
  it.each([[true, false], [false, true]])('marks requests after a reset when a probe is accepted: %s', (accepted, marked) => {
    const state = makeState()
    play(state, [
      [0, accept(1)],
      [0, makeAnnouncement()],
      [1, makeWork('a1')],
      [5, end('a1', reset)],
      [6, { slice: 'admission', type: 'serverProbed', endpoint: toId('endpoint-a'), accepted }]
    ])
    expect(isSuspect(state, toId('print-a1'))).toBe(marked)
  })

  // Guards against: work for a backend server that cannot have got it and is reported as "outcome unknown".
  it('hands work back as not run when the backend server refuses the connection', () => {
    const state = makeState()
    const refused = { kind: 'failed', reason: 'connect', sent: false } as const
    expect(play(state, [
      [0, accept(1)], [0, makeAnnouncement()], [1, makeWork('a1')], [1, makeWork('a2')], [2, end('a1', refused)]
    ])).toEqual(['a1 dispatch', 'a1 noEndpoint', 'a2 noEndpoint'])
    expect(isSuspect(state, toId('print-a1'))).toBe(false)
  })

  // Guards against: innocent requests with a mark, because the boot id of a server that came back is learned only
  // after they were dispatched to it.
  it('marks no request of a new life for the crash that ended the old one', () => {
    const state = makeState()
    play(state, [
      [0, accept(1)],
      [0, makeAnnouncement()],
      [1, makeWork('a1')],
      [5, end('a1', reset)],
      [6, { slice: 'admission', type: 'serverProbed', endpoint: toId('endpoint-a'), accepted: false }],
      [900, { slice: 'admission', type: 'serverProbed', endpoint: toId('endpoint-a'), accepted: true }],
      [901, makeWork('a2')],
      [902, makeAnnouncement({ bootId: toId('boot-2') })]
    ])
    expect(['print-a1', 'print-a2'].map((print) => isSuspect(state, toId(print)))).toEqual([true, false])
  })

  // Guards against: one team that fills the whole queue so that the others find no room.
  it('takes room from the longest queue', () => {
    const state = makeState()
    const greedy = ['t1', 't2', 't3', 't4'].flatMap((team) => Array.from({ length: 64 }, (_, index): SessionEvent => {
      return [1, makeWork(`${team}-${index}`, { team: toId(team) })]
    }))
    const before = play(state, [[0, accept(1)], [0, makeAnnouncement()], [0, makeWork('first')], ...greedy])
    expect(before).toEqual(['first dispatch'])
    expect(play(state, [[2, makeWork('late', { team: toId('kite') })]])).toEqual(['t1-63 queueFull'])
    expect(play(state, [[3, makeWork('t2-65', { team: toId('t2') })]])).toEqual(['t2-65 queueFull'])
  })
})
