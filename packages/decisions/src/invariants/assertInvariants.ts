import type { OutwardEffect } from '../NodeEffect'
import type { NodeEvent } from '../NodeEvent'
import type { NodeState } from '../NodeState'
import { assertFloor } from './assertFloor'
import { assertFreshService } from './assertFreshService'
import { assertGrantsUsable } from './assertGrantsUsable'
import { assertHeadWriteProven } from './assertHeadWriteProven'
import { assertOwnersRise } from './assertOwnersRise'
import { assertRevisionRises } from './assertRevisionRises'
import { assertSharesConserved } from './assertSharesConserved'
import { assertSlotsRespected } from './assertSlotsRespected'
import { assertTakesNewWork } from './assertTakesNewWork'

/**
 * Checks the guarantees that one step can break. Each check looks only at what the step touched, so that it can stay
 * on in production.
 *
 * @param state - the state after the step
 * @param event - the event of the step
 * @param effects - the effects of the step
 * @throws InvariantError when a guarantee is broken
 * @internal
 */
export function assertInvariants (state: NodeState, event: NodeEvent, effects: readonly OutwardEffect[]): void {
  for (const effect of effects) {
    if (effect.slice === 'admission' && effect.type === 'dispatch') {
      assertSlotsRespected(state, effect.endpoint)
      assertTakesNewWork(state, effect.attemptId)
    }
    if (effect.slice === 'health' && effect.type === 'answerPermit' && effect.answer.kind === 'granted') {
      assertFloor(state, effect.service)
    }
    if (effect.slice === 'platform' && effect.type === 'writeHead') assertHeadWriteProven(state, effect)
    if (event.type === 'requestArrived' && effect.slice === 'gateway' && effect.type === 'forward') {
      if (effect.team !== undefined) assertFreshService(state)
    }
  }
  if (event.slice === 'control') {
    assertOwnersRise(state, event)
    assertRevisionRises(state)
  }
  assertSharesConserved(state)
  assertGrantsUsable(state)
}
