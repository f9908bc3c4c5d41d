import { reduceAdmission } from './admission/reduceAdmission'
import { reduceAnnouncement } from './announcement/reduceAnnouncement'
import { reduceControl } from './control/reduceControl'
import { reduceGateway } from './gateway/reduceGateway'
import { reduceHealth } from './health/reduceHealth'
import { reduceIdempotency } from './idempotency/reduceIdempotency'
import { assertInvariants } from './invariants/assertInvariants'
import { reduceLifecycle } from './lifecycle/reduceLifecycle'
import { reduceLimits } from './limits/reduceLimits'
import { reduceMembership } from './membership/reduceMembership'
import type { NodeEffect, RuntimeEffect } from './NodeEffect'
import type { NodeEvent } from './NodeEvent'
import type { NodeState } from './NodeState'
import { reduceQuarantine } from './quarantine/reduceQuarantine'

/**
 * Applies one event to the state of a node. This is the only function that changes the state. It changes it in place,
 * because copying tables of 18,000 routes for each event would exceed the latency budget.
 *
 * @param state - the state, owned by the caller and updated in place
 * @param event - the event to apply
 * @returns the effects to execute, in order; events raised by slices have already been applied
 * @public
 */
export function reduce (state: NodeState, event: NodeEvent): RuntimeEffect[] {
  if (event.at > state.now) state.now = event.at
  const outwardEffects: RuntimeEffect[] = []
  const pending: NodeEvent[] = [event]
  for (const next of pending) {
    for (const effect of reduceSlice(state, next)) {
      if (effect.slice === 'reducer') pending.push({ ...effect.event, at: event.at })
      else outwardEffects.push(effect)
    }
  }
  assertInvariants(state, event, outwardEffects)
  return outwardEffects
}

function reduceSlice (state: NodeState, event: NodeEvent): NodeEffect[] {
  switch (event.slice) {
    case 'admission': return reduceAdmission(state, event)
    case 'announcement': return reduceAnnouncement(state, event)
    case 'control': return reduceControl(state, event)
    case 'gateway': return reduceGateway(state, event)
    case 'health': return reduceHealth(state, event)
    case 'idempotency': return reduceIdempotency(state, event)
    case 'lifecycle': return reduceLifecycle(state, event)
    case 'limits': return reduceLimits(state, event)
    case 'membership': return reduceMembership(state, event)
    case 'quarantine': return reduceQuarantine(state, event)
  }
}
