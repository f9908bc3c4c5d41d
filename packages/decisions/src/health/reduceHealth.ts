import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { handleAttemptEnded } from './handleAttemptEnded'
import type { HealthEvent } from './HealthEvent'
import { handlePermitAnswered, handlePermitUnanswered } from './permitHolder'
import { answerPermit, handlePermitReleased } from './permitOwner'
import { tickHealth } from './tickHealth'

/**
 * Applies a health event to the node's state.
 *
 * @param state - the node's state
 * @param event - the event
 * @returns effects
 * @internal
 */
export function reduceHealth (state: NodeState, event: HealthEvent): NodeEffect[] {
  switch (event.type) {
    case 'attemptEnded': return handleAttemptEnded(state, event)
    case 'permitAsked': return answerPermit(state, event)
    case 'permitReleased': return handlePermitReleased(state, event)
    case 'permitAnswered': return handlePermitAnswered(state, event)
    case 'permitUnanswered': return handlePermitUnanswered(state, event)
    case 'ticked': return tickHealth(state)
  }
}
