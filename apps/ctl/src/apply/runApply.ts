import { type Millis, millis } from '@lavenderturn/types'
import { CallError, type ControlClient } from '../client/ControlClient'
import type { ApplyEffect, ApplyOutcome } from './ApplyEffect'
import type { ApplyCall, ApplyEvent } from './ApplyEvent'
import { type ApplyState } from './ApplyState'
import { reduceApply } from './reduceApply'

/** Node client and timers of `runApply`. @public */
export interface ApplyDependencies {
  readonly client: ControlClient
  /** Monotonic time. */
  readonly now: () => Millis
  readonly sleep: (delay: Millis) => Promise<void>
}

type EventBody = ApplyEvent extends infer Each ? Each extends ApplyEvent ? Omit<Each, 'at'> : never : never

/**
 * Runs an `apply` to completion by executing the effects of its reducer.
 *
 * @param state - initial state
 * @param dependencies - client and clock
 * @returns the outcome
 * @public
 */
export async function runApply (state: ApplyState, dependencies: ApplyDependencies): Promise<ApplyOutcome> {
  let effects = reduceApply(state, { type: 'started', at: dependencies.now() })
  for (;;) {
    // The reducer returns exactly one effect per event until it has finished.
    const effect = effects[0]!
    if (effect.type === 'finish') return effect.outcome
    const body = await runEffect(effect, dependencies)
    effects = reduceApply(state, { ...body, at: dependencies.now() } as ApplyEvent)
  }
}

async function runEffect (
  effect: Exclude<ApplyEffect, { type: 'finish' }>, { client, sleep }: ApplyDependencies
): Promise<EventBody> {
  if (effect.type === 'wait') {
    await sleep(effect.delay)
    return { type: 'waited' }
  }
  try {
    return await callNode(effect, client)
  } catch (err) {
    if (err instanceof CallError) return createCallFailed(effect.type, err)
    throw err
  }
}

async function callNode (
  effect: Exclude<ApplyEffect, { type: 'finish' | 'wait' }>, client: ControlClient
): Promise<EventBody> {
  switch (effect.type) {
    case 'readCurrent': return { type: 'currentRead', current: await client.getDeclaration() }
    case 'sendApply': return { type: 'applyAnswered', answer: await client.apply(effect.request) }
    case 'findToken': return { type: 'tokenAnswered', answer: await client.findByToken(effect.token, effect.base) }
    case 'readStatus': return { type: 'statusRead', status: await client.getStatus() }
  }
}

function createCallFailed (call: ApplyCall, { sent, message }: CallError): EventBody {
  return { type: 'callFailed', call, sent, detail: message }
}

/** Monotonic clock and timer of this process. @public */
export const processClock: Pick<ApplyDependencies, 'now' | 'sleep'> = {
  now: () => millis(performance.now()),
  sleep: async (delay) => { await new Promise((resolve) => setTimeout(resolve, delay)) }
}
