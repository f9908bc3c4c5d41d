import { millis } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { ConfirmationMessage } from '../messages/PeerMessage'
import { applyEvacuated, applyRestoredEvacuated } from './applyEvacuated'
import type { ConfirmationAsked, ConfirmationReported } from './ConfigurationEvent'
import { CURRENT_AGE } from './configurationTimings'
import { acceptConfirmation, findConfirmationAge } from './confirmationAge'
import { noteStoreEra } from './noteStoreEra'
import type { OpenQuery } from './RelayState'
import { applyNotices, listNotices } from '../rollout/relayRollouts'
import { fetchConfiguration, noteReportedRevision } from './reportedRevision'
import { isEarlier } from './StorePosition'

/**
 * Tells another node which configuration this node has and how old its confirmation is.
 *
 * @param state - the node's state
 * @param event - the query
 * @returns the reply, or nothing if this node has no configuration
 * @internal
 */
export function reportConfirmation (state: MeshState, { message }: ConfirmationAsked): MeshEffect[] {
  const { configuration, identity } = state
  if (configuration.current === undefined) return []
  const rollouts = listNotices(state)
  const reply: ConfirmationMessage = {
    kind: 'confirmation',
    query: message.query,
    node: identity.nodeId,
    following: configuration.relay.following,
    revision: configuration.current.revision,
    version: configuration.position.version,
    ageMs: Math.ceil(findConfirmationAge(state)),
    evacuated: [...configuration.evacuated],
    era: configuration.position.era,
    ...rollouts !== undefined && { rollouts }
  }
  return [{ slice: 'peer', type: 'send', to: message.replyTo, message: reply }]
}

/**
 * Handles the report of another node. The confirmation is dated back from the time of the query by the age that the
 * other node states, so that it is never younger than what that node itself was told, however late the report comes.
 *
 * @param state - the node's state
 * @param event - the report
 * @returns effects
 * @internal
 */
export function receiveConfirmation (state: MeshState, { message }: ConfirmationReported): MeshEffect[] {
  const { configuration, directory, now } = state
  const { relay } = configuration
  const query = relay.queries.get(message.query)
  if (query === undefined || query.node !== message.node) return []
  relay.queries.delete(message.query)
  relay.repliedAt = now
  recordReliability(state, message)
  noteReportedRevision(state, message.revision)
  const noted = noteStoreEra(state, message.era)
  if (message.following && message.rollouts !== undefined) noted.push(...applyNotices(state, message.rollouts))
  const member = directory.members.get(message.node)
  const { current } = configuration
  if (current === undefined || message.revision > current.revision) {
    return [...noted, ...fetchConfiguration(state, member)]
  }
  // What an older revision says about the state of the store has been superseded by what this node knows.
  if (message.revision < current.revision) return noted
  const effects: MeshEffect[] = [...noted]
  const position = { era: message.era, version: message.version }
  if (isEarlier(configuration.position, position)) {
    const apply = position.era > configuration.position.era ? applyRestoredEvacuated : applyEvacuated
    configuration.position = position
    effects.push(...apply(state, new Set(message.evacuated)))
  }
  if (hasSameEvacuated(state, message)) acceptReport(state, message, query)
  return effects
}

function recordReliability ({ configuration }: MeshState, { node, following, ageMs }: ConfirmationMessage): void {
  const { faults } = configuration.relay
  if (following && ageMs <= CURRENT_AGE) faults.delete(node)
  else faults.set(node, following ? 'unserved' : 'absent')
}

function hasSameEvacuated ({ configuration }: MeshState, { evacuated }: ConfirmationMessage): boolean {
  return evacuated.length === configuration.evacuated.size &&
    evacuated.every((dataCentre) => configuration.evacuated.has(dataCentre))
}

function acceptReport (state: MeshState, { ageMs, revision }: ConfirmationMessage, { askedAt }: OpenQuery): void {
  const confirmed = { steadyAt: millis(askedAt.steadyAt - ageMs), wallAt: millis(askedAt.wallAt - ageMs) }
  acceptConfirmation(state, { confirmed, revision })
}
