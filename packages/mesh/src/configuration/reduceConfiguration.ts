import { type RouteId, toId } from '@lavenderturn/types'
import { rejectQueued } from '../admission/rejectQueued'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { ConfigurationRead } from './ConfigurationEvent'
import type { FleetConfiguration } from './FleetConfiguration'

/**
 * Applies a read of the configuration store. A configuration is never replaced by one of a lower revision.
 *
 * @param state - the node's state
 * @param event - the result of the read
 * @returns effects
 * @internal
 */
export function reduceConfiguration (state: MeshState, event: ConfigurationRead): MeshEffect[] {
  const configurationState = state.configuration
  const effects: MeshEffect[] = []
  configurationState.confirmed = event.confirmed
  if (event.configuration !== undefined) {
    const { revision } = event.configuration
    if (configurationState.current === undefined || configurationState.current.revision < revision) {
      configurationState.current = event.configuration
      removeStaleEntries(state, event.configuration)
      effects.push({
        slice: 'log', type: 'line', level: 'info', message: 'configuration in force', fields: { revision }
      })
    }
  }
  if (event.evacuated !== undefined) {
    const changed = [...event.evacuated].join() !== [...configurationState.evacuated].join()
    // The data centre's servers may be cold when it is put back into service.
    if (configurationState.evacuated.has(state.identity.dataCentre)) state.admission.lastDisruptionAt = state.now
    configurationState.evacuated = event.evacuated
    if (changed) {
      const dataCentres = [...event.evacuated].join()
      effects.push({
        slice: 'log', type: 'line', level: 'info', message: 'data centres taken out', fields: { dataCentres }
      })
    }
    if (configurationState.evacuated.has(state.identity.dataCentre)) effects.push(...rejectQueued(state, 'evacuated'))
  }
  return effects
}

/** Removes state of routes and teams that no longer exist. */
function removeStaleEntries ({ gateway, quota }: MeshState, { routesByHost, teams }: FleetConfiguration): void {
  for (const team of quota.buckets.keys()) if (!teams.has(team)) quota.buckets.delete(team)
  const routes = new Set([...routesByHost.values()].flat().map(({ id }) => id))
  for (const key of gateway.routeTimes.keys()) {
    if (!routes.has(toId<RouteId>(key.slice(0, key.lastIndexOf('/'))))) gateway.routeTimes.delete(key)
  }
}
