import { type RouteId, toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { applyEvacuated, applyRestoredEvacuated } from './applyEvacuated'
import { checkConfirmation } from './checkConfirmation'
import type { ConfigurationEvent, ConfigurationRead } from './ConfigurationEvent'
import type { ConfigurationState, Confirmation } from './ConfigurationState'
import { acceptConfirmation, findConfirmationAge } from './confirmationAge'
import type { FleetConfiguration } from './FleetConfiguration'
import { isSuperseded } from './isSuperseded'
import { noteStoreEra } from './noteStoreEra'
import { receiveConfirmation, reportConfirmation } from './relayConfirmation'
import { isEarlier } from './StorePosition'
import { applyOrders } from '../rollout/applyOrders'

/** Number of unreadable parts that a log line names, because a line has to stay short. */
const MAX_LOGGED_PARTS = 10

/**
 * @param state - the node's state
 * @param event - an event of the configuration
 * @returns effects
 * @internal
 */
export function reduceConfiguration (state: MeshState, event: ConfigurationEvent): MeshEffect[] {
  switch (event.type) {
    case 'configurationRead': return applyReading(state, event)
    case 'checkDue': return checkConfirmation(state)
    case 'confirmationAsked': return reportConfirmation(state, event)
    case 'confirmationReported': return receiveConfirmation(state, event)
  }
}

/** Applies a reading. A configuration is never replaced by one of a lower revision. */
function applyReading (state: MeshState, event: ConfigurationRead): MeshEffect[] {
  const { configuration } = state
  const { position = configuration.position } = event
  configuration.relay.fetchUntil = state.now
  const noted = noteStoreEra(state, position.era)
  // Another node may have sent what it had read before this node's latest reading.
  if (isEarlier(position, configuration.position)) return [...noted, ...applyEarlierReading(state, event)]
  const isRestored = position.era > configuration.position.era
  configuration.position = position
  configuration.ignoredReadings = 0
  // The keys of a configuration that cannot be read are not known, so it does not count as confirmed. Neither does the
  // one in force while the store has an earlier one: what followed on it may be lost as well.
  const { storedRevision } = event
  const isInForce = storedRevision !== undefined && storedRevision >= (configuration.current?.revision ?? 0)
  if (event.unreadable === undefined && isInForce) {
    acceptConfirmation(state, { confirmed: event.confirmed, revision: storedRevision })
  }
  const effects: MeshEffect[] = [...noted, ...noteReadability(state, event)]
  if (event.configuration !== undefined) {
    effects.push(...applyConfiguration(state, event.configuration, event.confirmed))
  }
  if (event.evacuated !== undefined) {
    const apply = isRestored ? applyRestoredEvacuated : applyEvacuated
    effects.push(...apply(state, event.evacuated))
  }
  if (event.rollouts !== undefined) effects.push(...applyOrders(state, event.rollouts))
  return effects
}

/**
 * Handles a reading from before the latest one. Of its content only a later revision counts, which a restored store has
 * lost; it is no younger than what the node that sent it was told.
 */
function applyEarlierReading (state: MeshState, event: ConfigurationRead): MeshEffect[] {
  const { configuration } = state
  const { configuration: read, confirmed } = event
  if (read === undefined || read.revision <= (configuration.current?.revision ?? 0)) {
    return noteIgnoredReading(configuration, event)
  }
  return applyConfiguration(state, read, confirmed)
}

function applyConfiguration (state: MeshState, next: FleetConfiguration, confirmed: Confirmation): MeshEffect[] {
  const { current } = state.configuration
  if (current !== undefined && current.revision >= next.revision) return []
  state.configuration.current = next
  // A younger confirmation of an earlier revision is that of a restored store, which has lost this one.
  state.configuration.confirmed = isSuperseded(state, next.revision) ? findOlder(state, confirmed) : confirmed
  removeStaleEntries(state, next)
  const { position: { era, version }, relay: { reported } } = state.configuration
  const sinceReportMs = reported?.revision === next.revision ? Math.round(state.now - reported.at) : undefined
  const fields = { revision: next.revision, era, version, sinceReportMs }
  return [
    { slice: 'log', type: 'line', level: 'info', message: 'configuration in force', fields }, ...logUnreadableParts(next)
  ]
}

/** Finds the time at which the store cannot yet have had a later revision than the one that comes into force. */
function findOlder (state: MeshState, confirmed: Confirmation): Confirmation | undefined {
  return findConfirmationAge(state) > findConfirmationAge(state, confirmed) ? state.configuration.confirmed : confirmed
}

/** Logs the first of several ignored readings in a row. */
function noteIgnoredReading (configuration: ConfigurationState, event: ConfigurationRead): MeshEffect[] {
  configuration.ignoredReadings += 1
  if (configuration.ignoredReadings > 1) return []
  const { position: known, current } = configuration
  const fields = {
    era: event.position?.era,
    version: event.position?.version,
    knownEra: known.era,
    knownVersion: known.version,
    revision: event.configuration?.revision,
    revisionInForce: current?.revision
  }
  return [{ slice: 'log', type: 'line', level: 'info', message: 'older reading ignored', fields }]
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
