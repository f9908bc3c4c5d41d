import { addMillis, type DataCentreId } from '@lavenderturn/types'
import { rejectQueued } from '../admission/rejectQueued'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { LOST_EVACUATION_TIME } from './configurationTimings'

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
  for (const dataCentre of evacuated) configuration.retainedEvacuations.delete(dataCentre)
  if (changed) {
    const dataCentres = [...evacuated].join()
    effects.push({
      slice: 'log', type: 'line', level: 'info', message: 'data centres taken out', fields: { dataCentres }
    })
  }
  if (evacuated.has(identity.dataCentre)) effects.push(...rejectQueued(state, 'evacuated'))
  return effects
}

/**
 * Applies the set of a restored store. Evacuations that it lacks hold for a while: either the operators write them
 * again, or they have taken them back while the store was away.
 *
 * @param state - the node's state
 * @param evacuated - the data centres that the store has now
 * @returns effects
 * @internal
 */
export function applyRestoredEvacuated (state: MeshState, evacuated: ReadonlySet<DataCentreId>): MeshEffect[] {
  const { admission, configuration, identity, now } = state
  const until = addMillis(now, LOST_EVACUATION_TIME)
  const lost = [...configuration.evacuated].filter((dataCentre) => !evacuated.has(dataCentre))
  for (const dataCentre of lost) configuration.retainedEvacuations.set(dataCentre, until)
  const effects = applyEvacuated(state, evacuated)
  if (lost.length === 0) return effects
  // The servers may be cold when the data centre is used again.
  if (lost.includes(identity.dataCentre)) admission.lastDisruptionAt = until
  const fields = { dataCentres: lost.join(), forMs: LOST_EVACUATION_TIME }
  return [...effects, { slice: 'log', type: 'line', level: 'warn', message: 'evacuations lost by the store kept', fields }]
}
