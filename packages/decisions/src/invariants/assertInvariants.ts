import type { OutwardEffect } from '../NodeEffect'
import type { NodeEvent } from '../NodeEvent'
import type { NodeState } from '../NodeState'
import { assertGrantsUsable } from './assertGrantsUsable'
import { assertSharesConserved } from './assertSharesConserved'
import { assertSlotsRespected } from './assertSlotsRespected'

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
    if (effect.slice === 'admission' && effect.type === 'dispatch') assertSlotsRespected(state, effect.endpoint)
  }
  assertSharesConserved(state)
  assertGrantsUsable(state)
}
