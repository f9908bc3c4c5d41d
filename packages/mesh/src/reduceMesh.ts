import { reduceAdmission } from './admission/reduceAdmission'
import { reduceConfiguration } from './configuration/reduceConfiguration'
import { reduceDirectory } from './directory/reduceDirectory'
import { reduceGateway } from './gateway/reduceGateway'
import { reduceLifecycle } from './lifecycle/reduceLifecycle'
import { reduceMemory } from './memory/reduceMemory'
import type { MeshEffect } from './MeshEffect'
import type { MeshEvent } from './MeshEvent'
import type { MeshState } from './MeshState'
import { reduceQuota } from './quota/reduceQuota'
import { reduceRollout } from './rollout/reduceRollout'

/**
 * Applies an event to the state of a node. Only this function changes the state. It does so in place, because copying
 * the routes for each event would cost more than handling the event.
 *
 * @param state - the state, owned by the caller and updated in place
 * @param event - the event to apply
 * @returns the effects to run, in order
 * @public
 */
export function reduceMesh (state: MeshState, event: MeshEvent): MeshEffect[] {
  if (event.at > state.now) state.now = event.at
  state.wallNow = event.wallAt
  switch (event.slice) {
    case 'admission': return reduceAdmission(state, event)
    case 'configuration': return reduceConfiguration(state, event)
    case 'directory': return reduceDirectory(state, event)
    case 'gateway': return reduceGateway(state, event)
    case 'lifecycle': return reduceLifecycle(state, event)
    case 'memory': return reduceMemory(state, event)
    case 'quota': return reduceQuota(state, event)
    case 'rollout': return reduceRollout(state, event)
  }
}
