import { makeDocument, makeMember, makeOwnership, makeRoute, makeState } from '@lavenderturn/fixtures'
import { type AttemptId, millis, type RequestId, type TeamId, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { createEvent } from '../createEvent'
import type { EventBody } from '../NodeEvent'
import { reduce } from '../reduce'

/** Sends a request, lets the admission return it, as after 2.5 s in its queue, and lists what the gateway does. */
function returnRequest (withdrawKey: boolean, result: 'unconfirmed' | 'outcomeUnknown', crashed = false): string[] {
  const state = makeState()
  // A new owner starts with empty buckets, so the request arrives one second later.
  for (const event of makeOwnership({ owner: state.identity.nodeId })) reduce(state, createEvent(event, millis(0)))
  const document = (revision: number, keys: Array<[string, string]>): EventBody => ({
    slice: 'control',
    type: 'documentAccepted',
    document: makeDocument({
      revision,
      keys: new Map(keys.map(([key, team]) => [toId(key), toId<TeamId>(team)])),
      routes: [makeRoute({ deadline: millis(10_000) })]
    })
  })
  const requestId = toId<RequestId>('r1')
  const events: EventBody[] = [
    document(1, [['key', 'fes']]),
    { slice: 'membership', type: 'memberLearned', status: 'alive', record: makeMember() },
    {
      slice: 'gateway',
      type: 'requestArrived',
      requestId,
      method: 'GET',
      path: '/stock',
      keyHash: toId('key'),
      keyInTarget: false,
      fingerprint: toId('print')
    }
  ]
  if (withdrawKey) events.push(document(2, []))
  events.push({
    slice: 'gateway',
    type: 'forwardRefused',
    requestId,
    attemptId: toId<AttemptId>('node-a/0'),
    result,
    crashedBoot: crashed ? toId('boot-1') : undefined,
    replayable: true
  })
  return events.flatMap((event) => reduce(state, createEvent(event, millis(1_000)))).flatMap((effect) => {
    if (effect.slice !== 'gateway') return []
    return [effect.type === 'refuse' ? `${effect.result} ${effect.run}` : effect.type]
  })
}

describe('a request returned by an admission', () => {
  // Guards against: a key that still works after it was withdrawn, and a long wait in a queue that costs an attempt.
  it('is resent while its key is valid, and refused as not run after the key was withdrawn', () => {
    expect(returnRequest(false, 'unconfirmed')).toEqual(['forward', 'forward'])
    expect(returnRequest(true, 'unconfirmed')).toEqual(['forward', 'unconfirmed not-run'])
  })

  // Guards against: an automatic retry of a request that may have crashed a backend server.
  it('is not retried if the backend server crashed', () => {
    expect(returnRequest(false, 'outcomeUnknown', true)).toEqual(['forward', 'outcomeUnknown unknown'])
  })
})
