import { type DataCentreId, millis, type NodeId, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { makeSoakPlan } from './makeSoakPlan'

const options = {
  span: millis(10_000),
  nodes: ['node-1', 'node-2'].map((name) => toId<NodeId>(name)),
  dataCentres: [toId<DataCentreId>('dc-a')]
}

describe('makeSoakPlan', () => {
  it('returns the same plan for the same seed, so that a failure can be reproduced', () => {
    expect(makeSoakPlan({ ...options, seed: 7 })).toEqual(makeSoakPlan({ ...options, seed: 7 }))
    expect(makeSoakPlan({ ...options, seed: 7 })).not.toEqual(makeSoakPlan({ ...options, seed: 8 }))
  })

  it('generates all kinds of actions, ordered by time and partly overlapping', () => {
    const plans = Array.from({ length: 60 }, (_, seed) => makeSoakPlan({ ...options, seed }))
    const kinds = new Set(plans.flat().map(({ action }) => action.kind))
    expect(kinds.size).toBe(17)
    for (const plan of plans) expect(plan.map(({ at }) => at)).toEqual(plan.map(({ at }) => at).sort((a, b) => a - b))
    const overlapping = plans.filter((plan) => {
      return plan.some(({ at, duration }, index) => (plan[index + 1]?.at ?? Infinity) < at + duration)
    })
    expect(overlapping.length).toBeGreaterThan(50)
  })
})
