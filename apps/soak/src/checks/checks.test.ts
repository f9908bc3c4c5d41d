import { millis, type NodeId, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { addSoakRequest, makeSoakState } from '../fixtures'
import { type CallerResult, GREEDY_TEAM, type SoakRequest } from '../SoakState'
import { AtMostOnce } from './AtMostOnce'
import { ColdServerRate } from './ColdServerRate'
import { DrainAndEvacuation } from './DrainAndEvacuation'
import { PlannedStops } from './PlannedStops'
import { RateLimits } from './RateLimits'
import { Recovery } from './Recovery'
import { RefusalAccuracy } from './RefusalAccuracy'
import { ResponseDeadlines } from './ResponseDeadlines'
import { ResponseIntegrity } from './ResponseIntegrity'
import { VersionExposure } from './VersionExposure'
import { WithdrawnKeys } from './WithdrawnKeys'

const node = toId<NodeId>('node-1')

function ended ({ id }: SoakRequest, result: CallerResult, at = 100) {
  return { type: 'requestEnded', requestId: id, result, at: millis(at) } as const
}

function started ({ id }: SoakRequest, at: number) {
  return { type: 'runStarted', node, requestId: id, at: millis(at) } as const
}

const answer = (request: SoakRequest): CallerResult => ({ kind: 'answer', requestId: request.id, whole: true })

/** Each check gets a state that violates its guarantee and one that does not: a check that cannot fail is useless. */
describe('soak checks', () => {
  it('detect a second run of a non-repeatable request', () => {
    const state = makeSoakState()
    addSoakRequest(state, { ranAt: [1, 2], repeatable: true })
    expect(new AtMostOnce().checkFinalState(state)).toEqual([])
    addSoakRequest(state, { ranAt: [1, 2] })
    expect(new AtMostOnce().checkFinalState(state)).toHaveLength(1)
  })

  it('detect more requests at a cold server than its cold rate allows', () => {
    const state = makeSoakState()
    state.servers.get(node)!.startedAt = millis(1_000)
    const check = new ColdServerRate()
    const request = addSoakRequest(state)
    for (let i = 0; i < 11; i++) expect(check.checkEvent(state, started(request, 1_100 + i))).toEqual([])
    expect(check.checkEvent(state, started(request, 1_120))).toHaveLength(1)
    expect(check.checkEvent(state, started(request, 4_500))).toEqual([])
  })

  it('detect a bad version that gets more requests than its bound, or is completed', () => {
    const state = makeSoakState()
    state.rollOut = { version: 'v2', errorShare: 0.5, nodes: [node] }
    Object.assign(state.plan, [{ at: 0, duration: 1_000, action: { kind: 'rollOut', nodes: [node], errorShare: 0.5 } }])
    state.servers.get(node)!.version = 'v2'
    const request = addSoakRequest(state)
    const check = new VersionExposure()
    check.checkEvent(state, { type: 'actionDue', index: 0, at: millis(1) })
    for (let run = 0; run < 33; run++) check.checkEvent(state, started(request, 10 + run))
    const read = (status: string) => ({ type: 'rollOutRead', status, at: millis(900) }) as const
    expect(check.checkEvent(state, read('rolledBack'))).toEqual([])
    expect(check.checkEvent(state, read('completed'))).toHaveLength(1)
    check.checkEvent(state, { type: 'actionDue', index: 0, at: millis(901) })
    for (let run = 0; run < 10; run++) check.checkEvent(state, started(request, 910 + run))
    expect(check.checkEvent(state, read('rolledBack'))).toHaveLength(1)
  })

  it('detect requests at a draining server and in an evacuated data centre', () => {
    const state = makeSoakState()
    const request = addSoakRequest(state)
    Object.assign(state.servers.get(node)!, { status: 'draining', drainedAt: millis(1_000) })
    expect(new DrainAndEvacuation().checkEvent(state, started(request, 2_900))).toEqual([])
    expect(new DrainAndEvacuation().checkEvent(state, started(request, 3_400))).toHaveLength(1)
    Object.assign(state.servers.get(node)!, { status: 'ready', drainedAt: undefined })
    state.evacuated.set(toId('dc-a'), millis(1_000))
    expect(new DrainAndEvacuation().checkEvent(state, started(request, 5_900))).toEqual([])
    expect(new DrainAndEvacuation().checkEvent(state, started(request, 6_400))).toHaveLength(1)
    state.storeDisturbances.push({ from: millis(900), to: millis(1_100) })
    expect(new DrainAndEvacuation().checkEvent(state, started(request, 6_400))).toEqual([])
  })

  it('detect missing and late responses, unless the node was disturbed', () => {
    const state = makeSoakState()
    const request = addSoakRequest(state)
    const check = new ResponseDeadlines()
    expect(check.checkEvent(state, ended(request, answer(request), 2_600))).toEqual([])
    expect(check.checkEvent(state, ended(request, answer(request), 2_800))).toHaveLength(1)
    expect(check.checkEvent(state, ended(request, { kind: 'cut' }))).toHaveLength(1)
    state.nodes.get(node)!.disturbances.push({ from: millis(50), to: millis(60) })
    expect(check.checkEvent(state, ended(request, { kind: 'cut' }))).toEqual([])
  })

  it('detect a rate that is exceeded in a window', () => {
    const state = makeSoakState()
    for (let index = 0; index < 86; index++) addSoakRequest(state, { team: GREEDY_TEAM, ranAt: [3_000 + index * 50] })
    expect(new RateLimits().checkFinalState(state)).toEqual([])
    addSoakRequest(state, { team: GREEDY_TEAM, ranAt: [3_001] })
    expect(new RateLimits().checkFinalState(state)).toHaveLength(1)
  })

  it('detect processes that exit unexpectedly, with an error, or too late', () => {
    const state = makeSoakState()
    const check = new PlannedStops()
    const exit = { type: 'nodeExited', node, code: 0, signal: null, at: millis(6_000) } as const
    expect(check.checkEvent(state, exit)).toHaveLength(1)
    state.nodes.get(node)!.stopRequestedAt = millis(1_000)
    expect(check.checkEvent(state, exit)).toEqual([])
    expect(check.checkEvent(state, { ...exit, code: 1 })).toHaveLength(1)
    expect(check.checkEvent(state, { ...exit, at: millis(7_500) })).toHaveLength(1)
    expect(check.checkEvent(state, { ...exit, code: null, signal: 'SIGKILL' })).toEqual([])
  })

  it('detect failures after the recovery, and a verification phase without requests', () => {
    const state = makeSoakState()
    expect(new Recovery().checkFinalState(state)).toHaveLength(1)
    state.verificationStartedAt = millis(7_000)
    expect(new Recovery().checkFinalState(state)).toHaveLength(1)
    const request = addSoakRequest(state, { sentAt: millis(7_000) })
    // The request has no result yet.
    expect(new Recovery().checkFinalState(state)).toHaveLength(1)
    request.result = answer(request)
    expect(new Recovery().checkFinalState(state)).toEqual([])
    request.result = { kind: 'refusal', status: 503, notRun: true }
    expect(new Recovery().checkFinalState(state)).toHaveLength(1)
  })

  it('detect a request that ran although its refusal says "not run"', () => {
    const state = makeSoakState()
    const request = addSoakRequest(state, { ranAt: [5] })
    request.result = { kind: 'refusal', status: 502, notRun: false }
    expect(new RefusalAccuracy().checkFinalState(state)).toEqual([])
    request.result = { kind: 'refusal', status: 503, notRun: true }
    expect(new RefusalAccuracy().checkFinalState(state)).toHaveLength(1)
  })

  it('detect responses that belong to another caller, are incomplete, or follow no run', () => {
    const state = makeSoakState()
    const request = addSoakRequest(state, { ranAt: [5] })
    const check = new ResponseIntegrity()
    expect(check.checkEvent(state, ended(request, answer(request)))).toEqual([])
    expect(check.checkEvent(state, ended(request, { kind: 'answer', requestId: 'other', whole: true }))).toHaveLength(1)
    expect(check.checkEvent(state, ended(request, { kind: 'answer', requestId: request.id, whole: false }))).toHaveLength(1)
    const idle = addSoakRequest(state)
    expect(check.checkEvent(state, ended(idle, answer(idle)))).toHaveLength(1)
  })

  it('detect a withdrawn key that is accepted after the time limit', () => {
    const state = makeSoakState()
    state.keys[0]!.withdrawnAt = millis(1_000)
    addSoakRequest(state, { sentAt: millis(6_000), ranAt: [6_300] })
    expect(new WithdrawnKeys().checkFinalState(state)).toEqual([])
    addSoakRequest(state, { sentAt: millis(6_001), ranAt: [6_350] })
    expect(new WithdrawnKeys().checkFinalState(state)).toHaveLength(1)
  })
})
