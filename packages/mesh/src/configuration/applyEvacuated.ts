import type { DataCentreId } from '@lavenderturn/types'
import { rejectQueued } from '../admission/rejectQueued'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'

/**
 * Applies the set of data centres that operators have taken out.
 *
 * @param state - the node's state
 * @param evacuated - the data centres
 * @returns effects
 * @internal
 */
export function applyEvacuated (state: MeshState, evacuated: ReadonlySet<DataCentreId>): MeshEffect[] {
  const { admission, configuration, identity, now } = state
  const effects: MeshEffect[] = []
  const changed = [...evacuated].join() !== [...configuration.evacuated].join()
  // The data centre's servers may be cold when it is put back into service.
  if (configuration.evacuated.has(identity.dataCentre)) admission.lastDisruptionAt = now
  configuration.evacuated = evacuated
  if (changed) {
    const dataCentres = [...evacuated].join()
    effects.push({
      slice: 'log', type: 'line', level: 'info', message: 'data centres taken out', fields: { dataCentres }
    })
  }
  if (evacuated.has(identity.dataCentre)) effects.push(...rejectQueued(state, 'evacuated'))
  return effects
}
