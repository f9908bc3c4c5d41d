import { makeDeclaration, makePropertyOptions } from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { type Fault, FakeControlClient } from '../fixtures/FakeControlClient'
import { makeFleetStatus, makeMemberStatus } from '../fixtures/makeFleetStatus'
import { makeOutside } from '../fixtures/makeOutside'
import type { ApplyOutcome } from './ApplyEffect'
import { createApplyState, type ApplyStateOptions } from './ApplyState'
import { runApply } from './runApply'

const TOKEN = toId<never>('token-1')
const CHANGED = makeDeclaration({ services: [{ id: toId('stock'), floor: 0.6 }] })

async function applyTo (client: FakeControlClient, options: Partial<ApplyStateOptions> = {}): Promise<ApplyOutcome> {
  const state = createApplyState({ declaration: CHANGED, token: TOKEN, wait: millis(2_000), ...options })
  return await runApply(state, { ...makeOutside(), client })
}

function makeClient (faults: readonly Fault[] = [], members = [makeMemberStatus()]): FakeControlClient {
  return new FakeControlClient({ declaration: makeDeclaration(), status: makeFleetStatus({ members }), faults })
}

describe('reduceApply', () => {
  it('reports the truth about acceptance under any loss, delay and race', async () => {
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

  it('finds out after a lost answer that the declaration was accepted', async () => {
    const outcome = await applyTo(makeClient(['none', 'answerLost', 'cannotTell', 'requestLost']))
    expect(outcome).toMatchObject({ kind: 'accepted', revision: 8, inForce: ['node-a'], pending: [] })
  })

  it('says "not applied" after a lost request only once the base is gone', async () => {
    expect(await applyTo(makeClient(['none', 'requestLost', 'none', 'otherWriter'])))
      .toMatchObject({ kind: 'notApplied', result: 'staleBase' })
    expect(await applyTo(makeClient(['none', 'requestLost']))).toMatchObject({ kind: 'unknown', base: 7, token: TOKEN })
  })

  it('refuses a stale base without sending anything', async () => {
    const client = makeClient()
    expect(await applyTo(client, { base: toId(6) })).toMatchObject({ kind: 'notApplied', result: 'staleBase' })
    expect(client.requests).toEqual([])
  })

  it('loses a race to another operator', async () => {
    expect(await applyTo(makeClient(['none', 'otherWriter']))).toMatchObject({ kind: 'notApplied', result: 'staleBase' })
  })

  it('names the members that do not have the revision in force', async () => {
    const members = [
      makeMemberStatus(), makeMemberStatus({ node: toId('node-b'), revision: toId(7) }),
      makeMemberStatus({ node: toId('node-c'), state: 'suspect', revision: undefined }),
      makeMemberStatus({ node: toId('node-d'), state: 'dead', revision: toId(3) })
    ]
    expect(await applyTo(makeClient([], members)))
      .toMatchObject({ kind: 'accepted', inForce: ['node-a'], pending: ['node-b', 'node-c'] })
  })

  it('counts the node that answers, which need not list itself', async () => {
    expect(await applyTo(makeClient([], []))).toMatchObject({ inForce: ['node-a'], pending: [] })
  })

  it('sends nothing when nothing changes or in a dry run', async () => {
    const client = makeClient()
    expect(await applyTo(client, { declaration: makeDeclaration() })).toEqual({ kind: 'nothingToDo', revision: 7 })
    expect(await applyTo(client, { dryRun: true })).toMatchObject({ kind: 'dryRun', base: 7 })
    expect(client.requests).toEqual([])
  })
})
