import { reduceAdmission } from './admission/reduceAdmission'
import { reduceConfiguration } from './configuration/reduceConfiguration'
import { reduceDirectory } from './directory/reduceDirectory'
import { reduceGateway } from './gateway/reduceGateway'
import { reduceLifecycle } from './lifecycle/reduceLifecycle'
import type { MeshEffect } from './MeshEffect'
import type { MeshEvent } from './MeshEvent'
import type { MeshState } from './MeshState'
import { reduceQuota } from './quota/reduceQuota'

/**
 * Applies one event to the state of a node. This is the only function that changes the state, and it does so in
 * place, because a copy of all routes for each event would cost more than the event itself.
 *
 * @param state - the state, owned by the caller and updated in place
 * @param event - what happened
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
    case 'quota': return reduceQuota(state, event)
  }
}
