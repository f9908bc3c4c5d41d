import { makeDeclaration, makePropertyOptions } from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { type Fault, FakeControlClient } from '../fixtures/FakeControlClient'
import { makeFleetStatus, makeMemberStatus } from '../fixtures/makeFleetStatus'
import { makeDependencies } from '../fixtures/makeDependencies'
import type { ApplyOutcome } from './ApplyEffect'
import { createApplyState, type ApplyStateOptions } from './ApplyState'
import { runApply } from './runApply'

const TOKEN = toId<never>('token-1')
const CHANGED = makeDeclaration({ services: [{ id: toId('stock'), floor: 0.6 }] })

async function applyTo (client: FakeControlClient, options: Partial<ApplyStateOptions> = {}): Promise<ApplyOutcome> {
  const state = createApplyState({ declaration: CHANGED, token: TOKEN, wait: millis(2_000), ...options })
  return await runApply(state, { ...makeDependencies(), client })
}

function makeClient (faults: readonly Fault[] = [], members = [makeMemberStatus()]): FakeControlClient {
  return new FakeControlClient({ declaration: makeDeclaration(), status: makeFleetStatus({ members }), faults })
}

describe('reduceApply', () => {
  it('never reports a wrong outcome under lost, delayed or racing requests', async () => {
    const fault = fc.constantFrom<Fault>('none', 'notSent', 'requestLost', 'answerLost', 'late', 'otherWriter', 'cannotTell')
    await fc.assert(fc.asyncProperty(fc.array(fault, { maxLength: 14 }), async (faults) => {
      const client = makeClient(faults)
      const outcome = await applyTo(client)
      client.settle()
      const accepted = client.writers.includes(TOKEN)
      if (outcome.kind === 'accepted') expect(accepted).toBe(true)
      else if (outcome.kind !== 'unknown') expect(accepted).toBe(false)
      expect(client.requests.length).toBeLessThanOrEqual(1)
    }), makePropertyOptions({ runs: 1_000 }))
  })

  it('resolves a lost response to "accepted" by the token', async () => {
    const outcome = await applyTo(makeClient(['none', 'answerLost', 'cannotTell', 'requestLost']))
    expect(outcome).toMatchObject({ kind: 'accepted', revision: 8, inForce: ['node-a'], pending: [] })
  })

  it('reports "not applied" after a lost request only when another revision has replaced the base', async () => {
    expect(await applyTo(makeClient(['none', 'requestLost', 'none', 'otherWriter'])))
      .toMatchObject({ kind: 'notApplied', result: 'staleBase' })
    expect(await applyTo(makeClient(['none', 'requestLost']))).toMatchObject({ kind: 'unknown', base: 7, token: TOKEN })
  })

  it('rejects a stale base without sending a request', async () => {
    const client = makeClient()
    expect(await applyTo(client, { base: toId(6) })).toMatchObject({ kind: 'notApplied', result: 'staleBase' })
    expect(client.requests).toEqual([])
  })

  it('reports a stale base when another writer is faster', async () => {
    expect(await applyTo(makeClient(['none', 'otherWriter']))).toMatchObject({ kind: 'notApplied', result: 'staleBase' })
  })

  it('lists the members on which the revision is not in force', async () => {
    const members = [
      makeMemberStatus(), makeMemberStatus({ node: toId('node-b'), revision: toId(7) }),
      makeMemberStatus({ node: toId('node-c'), state: 'suspect', revision: undefined }),
      makeMemberStatus({ node: toId('node-d'), state: 'dead', revision: toId(3) })
    ]
    expect(await applyTo(makeClient([], members)))
      .toMatchObject({ kind: 'accepted', inForce: ['node-a'], pending: ['node-b', 'node-c'] })
  })

  it('includes the queried node when it does not list itself as a member', async () => {
    expect(await applyTo(makeClient([], []))).toMatchObject({ inForce: ['node-a'], pending: [] })
  })

  it('sends no request for an empty delta or in a dry run', async () => {
    const client = makeClient()
    expect(await applyTo(client, { declaration: makeDeclaration() })).toEqual({ kind: 'nothingToDo', revision: 7 })
    expect(await applyTo(client, { dryRun: true })).toMatchObject({ kind: 'dryRun', base: 7 })
    expect(client.requests).toEqual([])
  })
})
