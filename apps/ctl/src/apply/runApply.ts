import { type Millis, millis } from '@lavenderturn/types'
import { CallError, type ControlClient } from '../client/ControlClient'
import type { ApplyEffect, ApplyOutcome } from './ApplyEffect'
import type { ApplyCall, ApplyEvent } from './ApplyEvent'
import { type ApplyState } from './ApplyState'
import { reduceApply } from './reduceApply'

/** What `runApply` needs of the outside. @public */
export interface ApplyOutside {
  readonly client: ControlClient
  /** Monotonic time. */
  readonly now: () => Millis
  readonly sleep: (delay: Millis) => Promise<void>
}

type EventBody = ApplyEvent extends infer Each ? Each extends ApplyEvent ? Omit<Each, 'at'> : never : never

/**
 * Runs the effects of one `apply` until it ends.
 *
 * @param state - what to apply
 * @param outside - client and clock
 * @returns how it ended
 * @public
 */
export async function runApply (state: ApplyState, outside: ApplyOutside): Promise<ApplyOutcome> {
  let effects = reduceApply(state, { type: 'started', at: outside.now() })
  for (;;) {
    // The reducer returns exactly one effect until it has finished.
    const effect = effects[0]!
    if (effect.type === 'finish') return effect.outcome
    const body = await runEffect(effect, outside)
    effects = reduceApply(state, { ...body, at: outside.now() } as ApplyEvent)
  }
}

async function runEffect (
  effect: Exclude<ApplyEffect, { type: 'finish' }>, { client, sleep }: ApplyOutside
): Promise<EventBody> {
  if (effect.type === 'wait') {
    await sleep(effect.delay)
    return { type: 'waited' }
  }
  try {
    return await callNode(effect, client)
  } catch (err) {
    if (err instanceof CallError) return createFailure(effect.type, err)
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

function createFailure (call: ApplyCall, { sent, message }: CallError): EventBody {
  return { type: 'callFailed', call, sent, detail: message }
}

/** The clock and timer of this process. @public */
export const processClock: Pick<ApplyOutside, 'now' | 'sleep'> = {
  now: () => millis(performance.now()),
  sleep: async (delay) => { await new Promise((resolve) => setTimeout(resolve, delay)) }
}
