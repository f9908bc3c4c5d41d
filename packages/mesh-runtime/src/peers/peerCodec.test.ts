import { makeSlotRequest, makeLoadSummary } from '@lavenderturn/fixtures/mesh'
import type { PeerMessage } from '@lavenderturn/mesh'
import { toId } from '@lavenderturn/types'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { decodeHeartbeat } from './decodeHeartbeat'
import { decodePeerMessage, encodePeerMessage } from './peerCodec'
import { peerMessageSchema } from './peerMessageSchema'

const load = makeLoadSummary({ suspect: true, errorRate: 0.25, limitDelayMs: 600 })
const reservation = toId<never>('boot.1')

const confirmation: PeerMessage = {
  kind: 'confirmation',
  query: toId('q'),
  node: toId('node-1'),
  following: true,
  revision: toId(4),
  version: 90,
  era: toId(2),
  ageMs: 40,
  evacuated: [toId('dc-a')]
}

const messages: readonly PeerMessage[] = [
  makeSlotRequest(),
  makeSlotRequest({ senderStops: true }),
  { kind: 'askToken', grant: toId('g'), node: toId('node-1'), replyTo: toId('10.0.0.1:7'), team: toId('tent') },
  { kind: 'beat', node: toId('node-1'), boot: 'b', load, revision: toId(4), leaving: false, hearsReceiver: true },
  { kind: 'askConfirmation', query: toId('q'), replyTo: toId('10.0.0.1:7') },
  { kind: 'cancel', reservation },
  confirmation,
  {
    ...confirmation,
    evacuated: [],
    rollouts: [
      [toId('stock'), toId('v2'), 14_000, toId(2), 81, 'rolledBack', 9_000, false, [toId('v1')]],
      [toId('media'), toId('v3'), 12_000, toId(2), 85, null, 300, true, []]
    ]
  },
  {
    kind: 'rolloutEvidence',
    node: toId('node-1'),
    boot: 'b',
    service: toId('stock'),
    term: 2_000_000_000_091,
    version: toId('v2'),
    ready: true,
    dispatched: 12,
    running: 2,
    sentAt: 4_300,
    routes: [[toId('search'), 1, [0, 3, 4], [1]], [toId('detail'), 0, [], []]]
  },
  {
    kind: 'rolloutStep',
    replyTo: toId('10.0.0.1:7'),
    service: toId('stock'),
    to: toId('v2'),
    duration: toId(14_000),
    era: toId(2),
    version: 81,
    phase: 'canary',
    term: 2_000_000_000_091,
    step: 4,
    allowance: 16,
    echo: 3_800
  },
  { kind: 'crash', fingerprint: toId('f'), endpoint: toId('server-1'), startedAt: 12 },
  {
    kind: 'hello',
    node: toId('node-1'),
    boot: 'b',
    dataCentre: toId('dc-a'),
    service: toId('stock'),
    peerAddress: toId('10.0.0.1:7'),
    forwardAddress: toId('10.0.0.1:8'),
    wantsReply: true
  },
  { kind: 'recall', reservation, replyTo: toId('10.0.0.1:7') },
  { kind: 'recalled', reservation, attemptState: 'running' },
  { kind: 'release', reservation },
  { kind: 'slot', reservation, verdict: 'refused', refusal: 'suspect', load },
  { kind: 'slot', reservation, verdict: 'granted', load },
  { kind: 'started', reservation },
  { kind: 'token', grant: toId('g'), granted: false, waitMs: 40 }
]

describe('peer messages', () => {
  it.each(messages.map((message) => [message.kind, message] as const))('of kind %s survive a round trip through the codec', (_, message) => {
    expect(decodePeerMessage(Buffer.from(encodePeerMessage(message)))).toEqual(message)
  })

  // Guards against dropping the messages of nodes that still run the previous version during an upgrade.
  it('may come without the time of the next request and the delay by a limit', () => {
    const data = JSON.stringify(['slot', 'boot.1', 'granted', null, [true, 2, 0, 0, false, 0, 100]])
    expect(decodePeerMessage(Buffer.from(data))).toMatchObject({ load: { serviceMs: 100, dueMs: 0, limitDelayMs: 0 } })
  })

  // Guards against longer datagrams for every slot request, and against dropping those of the previous version.
  it('of kind askSlot mention the end of the sender only if it stops', () => {
    const data = encodePeerMessage(makeSlotRequest())
    expect(JSON.parse(data)).toHaveLength(9)
    expect(decodePeerMessage(Buffer.from(data))).not.toHaveProperty('senderStops', true)
  })

  // Guards against a heartbeat that the decoder without the schema takes or rejects unlike the schema.
  it('of kind beat are decoded as by the schema', () => {
    const names = ['node', 'boot', 'load', 'revision', 'leaving', 'hearsReceiver'] as const
    const loadNames = ['open', 'slots', 'used', 'queued', 'suspect', 'errorRate', 'serviceMs', 'dueMs', 'limitDelayMs'] as const
    const beat = JSON.parse(encodePeerMessage(messages.find(({ kind }) => kind === 'beat')!)) as unknown[]
    const change = fc.tuple(fc.boolean(), fc.nat(9), fc.oneof(fc.jsonValue(), fc.integer(), fc.boolean()))
    fc.assert(fc.property(fc.array(change, { maxLength: 3 }), (changes) => {
      const values = structuredClone(beat)
      for (const [inLoad, index, value] of changes) {
        const target = inLoad && Array.isArray(values[3]) ? values[3] as unknown[] : values
        if (inLoad || index > 0) target[index] = value
      }
      const load = values[3]
      const fields = Object.fromEntries(names.map((name, index) => [name, values[index + 1]]))
      const loadFields = Array.isArray(load)
        ? Object.fromEntries(loadNames.map((name, index) => [name, load[index] as unknown]))
        : load
      const expected = peerMessageSchema.safeParse({ kind: 'beat', ...fields, load: loadFields })
      expect(decodeHeartbeat(values)).toEqual(expected.success ? expected.data : undefined)
    }), { seed: 5, numRuns: 3_000 })
  })

  it('that are malformed are rejected without an exception', () => {
    fc.assert(fc.property(fc.uint8Array(), (bytes) => {
      expect(decodePeerMessage(Buffer.from(bytes))).toBeUndefined()
    }), { seed: 5, numRuns: 200 })
    fc.assert(fc.property(fc.constantFrom(...messages), fc.nat(12), fc.jsonValue(), (message, index, value) => {
      const values = JSON.parse(encodePeerMessage(message)) as unknown[]
      values[index] = value
      expect(() => decodePeerMessage(Buffer.from(JSON.stringify(values)))).not.toThrow()
    }), { seed: 5, numRuns: 300 })
  })
})
