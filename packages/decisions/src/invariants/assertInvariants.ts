import type { RuntimeEffect } from '../NodeEffect'
import type { NodeEvent } from '../NodeEvent'
import type { NodeState } from '../NodeState'
import { assertCapacityFloor } from './assertCapacityFloor'
import { assertConfigurationFresh } from './assertConfigurationFresh'
import { assertSpentGrantsValid } from './assertSpentGrantsValid'
import { assertHeadWriteHasMajority } from './assertHeadWriteHasMajority'
import { assertOwnersNeverRevert } from './assertOwnersNeverRevert'
import { assertRevisionNeverReverts } from './assertRevisionNeverReverts'
import { assertSharesConserved } from './assertSharesConserved'
import { assertSlotsNotExceeded } from './assertSlotsNotExceeded'
import { assertDispatchAllowed } from './assertDispatchAllowed'

/**
 * Checks the invariants that a single step can violate. Each check covers only what the step changed, so that the
 * checks are cheap enough for production.
 *
 * @param state - the state after the step
 * @param event - the event of the step
 * @param effects - the effects of the step
 * @throws InvariantError if an invariant is violated
 * @internal
 */
export function assertInvariants (state: NodeState, event: NodeEvent, effects: readonly RuntimeEffect[]): void {
  for (const effect of effects) {
    if (effect.slice === 'admission' && effect.type === 'dispatch') {
      assertSlotsNotExceeded(state, effect.endpoint)
      assertDispatchAllowed(state, effect.attemptId)
    }
    if (effect.slice === 'health' && effect.type === 'answerPermit' && effect.answer.kind === 'granted') {
      assertCapacityFloor(state, effect.service)
    }
    if (effect.slice === 'platform' && effect.type === 'writeHead') assertHeadWriteHasMajority(state, effect)
    if (event.type === 'requestArrived' && effect.slice === 'gateway' && effect.type === 'forward') {
      if (effect.team !== undefined) assertConfigurationFresh(state)
    }
  }
  if (event.slice === 'control') {
    assertOwnersNeverRevert(state, event)
    assertRevisionNeverReverts(state)
  }
  assertSharesConserved(state)
  assertSpentGrantsValid(state)
}
