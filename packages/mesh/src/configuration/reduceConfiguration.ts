import { type RouteId, toId } from '@lavenderturn/types'
import { rejectQueued } from '../admission/rejectQueued'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { ConfigurationRead } from './ConfigurationEvent'
import type { FleetConfiguration } from './FleetConfiguration'

/** Number of unreadable parts that a log line names, because a line has to stay short. */
const MAX_LOGGED_PARTS = 10

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
  // The keys of a configuration that cannot be read are not known, so it does not count as confirmed.
  if (event.unreadable === undefined) configurationState.confirmed = event.confirmed
  effects.push(...noteReadability(state, event))
  if (event.configuration !== undefined) {
    const { revision } = event.configuration
    if (configurationState.current === undefined || configurationState.current.revision < revision) {
      configurationState.current = event.configuration
      removeStaleEntries(state, event.configuration)
      effects.push({
        slice: 'log', type: 'line', level: 'info', message: 'configuration in force', fields: { revision }
      }, ...logUnreadableParts(event.configuration))
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

/** Logs the change between a configuration that can be read and one that cannot, but not each reading of it. */
function noteReadability ({ configuration }: MeshState, { unreadable }: ConfigurationRead): MeshEffect[] {
  if (configuration.unreadable === unreadable) return []
  configuration.unreadable = unreadable
  const revision = configuration.current?.revision
  if (unreadable === undefined) {
    return [{ slice: 'log', type: 'line', level: 'info', message: 'configuration can be read again', fields: { revision } }]
  }
  const fields = { reason: unreadable, revisionInForce: revision }
  return [{ slice: 'log', type: 'line', level: 'warn', message: 'configuration cannot be read', fields }]
}

/** Names the parts that were left out, in one line for each revision. */
function logUnreadableParts ({ revision, unreadableParts }: FleetConfiguration): MeshEffect[] {
  if (unreadableParts.length === 0) return []
  const parts = unreadableParts.slice(0, MAX_LOGGED_PARTS).join('; ')
  const fields = { revision, count: unreadableParts.length, parts }
  return [{ slice: 'log', type: 'line', level: 'warn', message: 'configuration parts left out', fields }]
}

/** Removes state of routes and teams that no longer exist. */
function removeStaleEntries ({ gateway, quota }: MeshState, { routesByHost, teams }: FleetConfiguration): void {
  for (const team of quota.buckets.keys()) if (!teams.has(team)) quota.buckets.delete(team)
  const routes = new Set([...routesByHost.values()].flat().map(({ id }) => id))
  for (const key of gateway.routeTimes.keys()) {
    if (!routes.has(toId<RouteId>(key.slice(0, key.lastIndexOf('/'))))) gateway.routeTimes.delete(key)
  }
}
