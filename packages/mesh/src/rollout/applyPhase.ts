import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { closeVersion } from './closeVersion'
import { isFinal, type RolloutPhase } from './RolloutOrder'
import type { Rollout } from './RolloutState'

/** A phase, and the conductor's step at which it was told. @internal */
export interface PhaseNotice {
  readonly phase: RolloutPhase
  readonly term: number
  readonly step: number
}

/**
 * Takes note of the phase of a roll-out. The last phase is final. Before it a conductor may go back from `promoting` to
 * `canary`, so the latest notice counts.
 *
 * @param state - the node's state
 * @param rollout - the roll-out
 * @param notice - the phase
 * @returns effects
 * @internal
 */
export function applyPhase (state: MeshState, rollout: Rollout, { phase, term, step }: PhaseNotice): MeshEffect[] {
  if (isFinal(rollout.phase) && rollout.isPhaseKnown) return []
  const isLater = term > rollout.term || (term === rollout.term && step >= rollout.step)
  if (!isLater && !isFinal(phase)) return []
  const previous = rollout.isPhaseKnown ? rollout.phase : undefined
  rollout.term = term
  rollout.step = step
  rollout.isPhaseKnown = true
  if (previous === phase) return []
  rollout.phase = phase
  rollout.phaseSince = state.now
  const { service, to } = rollout.order
  const fields = { service, to, phase, previous, own: state.admission.server?.version, term, step }
  return [
    { slice: 'log', type: 'line', level: 'info', message: 'roll-out phase', fields },
    ...closeVersion(state)
  ]
}
