import { millis } from '@lavenderturn/types'
import { Agent } from 'undici'
import type { LoadEffect, LoadEvent } from './LoadEvent'
import type { LoadPlan } from './LoadPlan'
import { createLoadState, type LoadState } from './LoadState'
import { reduceLoad } from './reduceLoad'
import { sendRequest } from './sendRequest'

const CONNECTIONS_PER_NODE = 64

/**
 * Runs a load to completion.
 *
 * @param plan - the load
 * @returns the results
 * @public
 */
export async function runLoad (plan: LoadPlan): Promise<LoadState> {
  const agent = new Agent({ connections: CONNECTIONS_PER_NODE, headersTimeout: 0, bodyTimeout: 0 })
  const state = createLoadState(plan)
  try {
    await new Promise<void>((resolve) => {
      const dispatch = (event: LoadEvent): void => { for (const effect of reduceLoad(state, event)) run(effect) }
      const run = (effect: LoadEffect): void => {
        switch (effect.type) {
          case 'wait':
            setTimeout(() => {
              dispatch({ type: 'due', at: millis(performance.now()), stream: effect.stream })
            }, Math.max(0, effect.until - performance.now()))
            break
          case 'send': {
            const { stream, sequence, target } = effect
            void sendRequest({ agent, stream: plan.streams[stream]!, target }).then((outcome) => {
              dispatch({ type: 'ended', at: millis(performance.now()), stream, sequence, outcome })
            })
            break
          }
          case 'finish':
            resolve()
        }
      }
      dispatch({ type: 'started', at: millis(performance.now()) })
    })
  } finally {
    await agent.close()
  }
  return state
}
