import { makeKeyClaimRequest, makeDocument, makeMember, makeRoute, makeSeat, makeState } from '@lavenderturn/fixtures'
import {
  type CallId, type DomainId, type KeyHash, type Millis, millis, type NodeId, type PartitionId, type TeamId, toId
} from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { type AssignmentEntry, assignmentKey, partitionOf } from '../control/Assignment'
import { createEvent } from '../createEvent'
import type { RuntimeEffect } from '../NodeEffect'
import type { EventBody } from '../NodeEvent'
import type { NodeState } from '../NodeState'
import { reduce } from '../reduce'
import type { KeyClaimRequest, ClaimReply, CopyReply, RecordCopy, SeatView } from './ClaimMessages'
import { handleOwnerChanged } from './handleOwnerChanged'

const callId = toId<CallId>('call-1')
const partition: PartitionId = partitionOf(toId<TeamId>('fes'))
const domains = ['dc-1', 'dc-2', 'dc-3'].map((name) => toId<DomainId>(name))
const replacedSeat = makeSeat({ domain: toId('dc-2'), epoch: 2 })

describe('an owner of idempotency records', () => {
  // Guards against: a key that runs twice, because its claim reaches a majority with a replaced owner and is missing
  // from the records that the successor has copied.
  it('refuses a claim that lists an owner whose successor has already copied the records', () => {
    const state = makeOwner(makeEntry('dc-1', 'node-a'))
    const ask = { partition, source: toId<DomainId>('dc-1'), seat: replacedSeat, cursor: 0 }
    step(state, { slice: 'idempotency', type: 'copyAsked', callId, ask })
    expect(claim(state)).toMatchObject({ result: 'cannotTell' })
    const seats = makeKeyClaimRequest().seats.map((seat) => seat.domain === replacedSeat.domain ? replacedSeat : seat)
    expect(claim(state, { seats })).toMatchObject({ result: 'recorded' })
  })

  // Guards against: the same fault after another change of owner, because the new owner does not know of the earlier
  // replacement.
  it('learns from other owners which owners have been replaced', () => {
    const others = [makeEntry('dc-2', 'node-y', 2), makeEntry('dc-3', 'node-dc-3')]
    const state = makeOwner(makeEntry('dc-1', 'node-a', 2), makeEntry('dc-1', 'node-x'), others)
    for (const source of ['dc-2', 'dc-3']) receivePage(state, source, [], [replacedSeat])
    const own = makeSeat({ epoch: 2 })
    expect(claim(state, { seats: [own, makeSeat({ domain: toId('dc-2') })] })).toMatchObject({ result: 'cannotTell' })
    expect(claim(state, { seats: [own, replacedSeat] })).toMatchObject({ result: 'recorded' })
  })

  // Guards against: a claim that is recorded after the copy and lost with this owner.
  it('records no claims once its successor copies the records', () => {
    const state = makeOwner(makeEntry('dc-1', 'node-a'))
    const ask = { partition, source: toId<DomainId>('dc-1'), seat: makeSeat({ sequence: 1 }), cursor: 0 }
    claim(state)
    step(state, { slice: 'idempotency', type: 'copyAsked', callId, ask })
    expect(claim(state, { digest: toId('digest-2') })).toMatchObject({ result: 'cannotTell' })
  })

  // Guards against: a release that frees the key while another claim of it may have run.
  it('refuses a key whose copied records name different claims, even after both are released', () => {
    const state = makeOwner(makeEntry('dc-1', 'node-a', 2), makeEntry('dc-1', 'node-x'))
    const copy: RecordCopy = { ...makeKeyClaimRequest(), run: { kind: 'pending' }, remaining: millis(1_000_000) }
    receivePage(state, 'dc-2', [copy])
    receivePage(state, 'dc-3', [{ ...copy, claimId: toId('request-2') }])
    for (const claimId of ['request-1', 'request-2']) {
      const settlement = { ...makeKeyClaimRequest({ claimId: toId(claimId) }), outcome: { kind: 'not-run' } as const }
      step(state, { slice: 'idempotency', type: 'settleAsked', callId, settlement })
    }
    const seats = [makeSeat({ epoch: 2 })]
    expect(claim(state, { claimId: toId('request-3'), seats })).toMatchObject({ result: 'exists' })
  })

  // Guards against: a repeated message that is refused as a duplicate of itself, and a delayed one that claims the key
  // again after its release.
  it('recognises a claim that arrives twice, and a delayed message of a released one', () => {
    const state = makeOwner(makeEntry('dc-1', 'node-a'))
    expect(claim(state)).toMatchObject({ result: 'recorded' })
    expect(claim(state)).toMatchObject({ result: 'recorded' })
    expect(claim(state, { claimId: toId('request-2') })).toMatchObject({ result: 'exists' })
    const settlement = { ...makeKeyClaimRequest(), outcome: { kind: 'not-run' } as const }
    step(state, { slice: 'idempotency', type: 'settleAsked', callId, settlement })
    expect(claim(state)).toMatchObject({ result: 'cannotTell' })
    expect(claim(state, { claimId: toId('request-2') })).toMatchObject({ result: 'recorded' })
  })
})

describe('a gateway that claims a key', () => {
  // Guards against: a majority that includes a record which was lost with its owner.
  it('does not count the vote of a replaced owner, whether it arrives before or after the replacement', () => {
    const state = makeGateway()
    receiveVote(state, 'dc-1')
    state.control.assignment.set(assignmentKey(partition, toId('dc-1')), makeEntry('dc-1', 'node-y', 2))
    step(state, { slice: 'idempotency', type: 'claimRetryDue', requestId: toId('request-1') })
    receiveVote(state, 'dc-2')
    expect(isForwarded(state)).toBe(false)
    receiveVote(state, 'dc-1')
    expect(isForwarded(state)).toBe(false)
    receiveVote(state, 'dc-1', makeSeat({ epoch: 2 }))
    expect(isForwarded(state)).toBe(true)
  })
})

function makeEntry (domain: string, owner: string, epoch = 1): AssignmentEntry {
  return { partition, domain: toId(domain), owner: toId<NodeId>(owner), epoch, sequence: 0 }
}

function makeOwner (
  entry: AssignmentEntry,
  previous?: AssignmentEntry,
  others = domains.map((domain) => makeEntry(domain, `node-${domain}`))
): NodeState {
  const state = makeState()
  state.control.headReadAt = millis(0)
  state.control.document = makeDocument({ domains })
  for (const other of [...others, entry]) state.control.assignment.set(assignmentKey(partition, other.domain), other)
  handleOwnerChanged(state, { entry, previous })
  return state
}

function makeGateway (): NodeState {
  const state = makeOwner(makeEntry('dc-1', 'node-dc-1'))
  state.control.headReadAt = millis(0)
  state.control.document = makeDocument({
    domains,
    keys: new Map([[toId<KeyHash>('hash'), toId<TeamId>('fes')]]),
    routes: [makeRoute({ repeatable: false, access: { kind: 'open' } })]
  })
  for (const domain of domains) {
    const record = makeMember({ nodeId: toId(`node-${domain}`) })
    step(state, { slice: 'membership', type: 'memberLearned', status: 'alive', record })
  }
  step(state, {
    slice: 'gateway',
    type: 'requestArrived',
    requestId: toId('request-1'),
    method: 'POST',
    path: '/stock',
    keyInTarget: false,
    idempotencyKey: toId('order-1'),
    fingerprint: toId('print-1')
  })
  // Open routes share one partition; the claim's own partition has no entries in this fixture.
  const pending = state.idempotency.claims.get(toId('request-1'))!
  Object.assign(pending, { partition })
  step(state, { slice: 'idempotency', type: 'claimRetryDue', requestId: toId('request-1') })
  return state
}

function step (state: NodeState, body: EventBody): RuntimeEffect[] {
  return reduce(state, createEvent(body, 1 as Millis))
}

function claim (state: NodeState, options: Partial<KeyClaimRequest> = {}): ClaimReply | undefined {
  const effects = step(state, { slice: 'idempotency', type: 'claimAsked', callId, ask: makeKeyClaimRequest(options) })
  return effects.flatMap((effect) => 'reply' in effect && 'result' in effect.reply ? [effect.reply] : [])[0]
}

function receiveVote (state: NodeState, domain: string, seat = makeSeat({ domain: toId(domain) })): void {
  const reply: ClaimReply = { claimId: toId('request-1'), domain: toId(domain), result: 'recorded', seat }
  step(state, { slice: 'idempotency', type: 'claimAnswered', reply })
}

function isForwarded (state: NodeState): boolean {
  return state.gateway.requests.get(toId('request-1'))?.phase === 'forwarding'
}

function receivePage (
  state: NodeState,
  source: string,
  records: readonly RecordCopy[],
  seats: readonly SeatView[] = []
): void {
  const seat = makeSeat({ epoch: 2 })
  const page: CopyReply = { kind: 'page', records, cursor: records.length, done: false, seats }
  const ask = { partition, source: toId<DomainId>(source), seat, cursor: 0 }
  step(state, { slice: 'idempotency', type: 'copyAnswered', ask, reply: page })
  const last: CopyReply = { ...page, records: [], done: true }
  step(state, { slice: 'idempotency', type: 'copyAnswered', ask: { ...ask, cursor: records.length }, reply: last })
}
