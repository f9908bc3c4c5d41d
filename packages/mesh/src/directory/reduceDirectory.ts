import { millis, toId } from '@lavenderturn/types'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { REMOTE_TRIAL_OVERDUE } from '../admission/admissionTimings'
import { restoreDeparture } from '../admission/handleAnnouncement'
import { scheduleConfirmationCheck } from '../configuration/checkConfirmation'
import { noteStoreEra } from '../configuration/noteStoreEra'
import { learnOfRevision } from '../configuration/reportedRevision'
import { hashText } from '../hashText'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { LoadSummary } from '../messages/PeerMessage'
import type { HeartbeatReceived, DirectoryEvent, HelloReceived, RegistryRead } from './DirectoryEvent'
import { isHeardRecently } from './countMembers'
import { composeHeartbeat, composeHello, describeRecord } from './describeSelf'
import {
  HEARTBEAT_INTERVAL, MAX_HELLOS, RECORDS_PER_INTERVAL, REGISTRY_INTERVAL, REMOTE_HEARTBEAT_EVERY, REMOVAL_TIMEOUT
} from './directoryTimings'
import { updateHeartbeatPartners } from './heartbeatPartners'
import { isAlive } from './isAlive'
import type { Member, MemberRecord } from './Member'
import { addMember, removeMember } from './memberTable'

/**
 * @param state - the node's state
 * @param event - an event of the directory
 * @returns effects
 * @internal
 */
export function reduceDirectory (state: MeshState, event: DirectoryEvent): MeshEffect[] {
  switch (event.type) {
    case 'nodeStarted': return startNode(state)
    case 'registryRead': return readRegistry(state, event)
    case 'beatReceived': return receiveHeartbeat(state, event)
    case 'helloReceived': return receiveHello(state, event)
    case 'beatDue': return sendHeartbeats(state)
  }
}

function startNode (state: MeshState): MeshEffect[] {
  state.lifecycle.startedAt = state.wallNow
  registerMember(state, describeRecord(state))
  updateHeartbeatPartners(state)
  return [
    { slice: 'directory', type: 'syncRegistry', own: describeRecord(state) },
    { slice: 'configuration', type: 'read' },
    scheduleHeartbeat(),
    scheduleConfirmationCheck()
  ]
}

function scheduleHeartbeat (): MeshEffect {
  const event = { slice: 'directory', type: 'beatDue' } as const
  return { slice: 'timer', type: 'set', id: toId('directory/beat'), delay: HEARTBEAT_INTERVAL, event }
}

function readRegistry (
  state: MeshState,
  { records, departure, era = state.configuration.era }: RegistryRead
): MeshEffect[] {
  const { directory } = state
  const isFirstRead = !directory.registered
  directory.registered = true
  directory.registryReadAt = state.now
  directory.recordEra = era
  const effects: MeshEffect[] = noteStoreEra(state, era)
  if (departure !== undefined) effects.push(...restoreDeparture(state, departure))
  const message = composeHello(state, true)
  for (const record of records) {
    // Another node may have read the registry before this node's record was written. The hello introduces this node.
    if (!registerMember(state, record)) continue
    directory.members.get(record.node)!.hellosSent += 1
    effects.push({ slice: 'peer', type: 'send', to: record.peerAddress, message })
  }
  removeUnlisted(state, records)
  updateHeartbeatPartners(state)
  if (isFirstRead) {
    const fields = { members: directory.members.size }
    effects.push({ slice: 'log', type: 'line', level: 'info', message: 'registry read', fields })
  }
  return effects
}

function removeUnlisted (state: MeshState, records: readonly MemberRecord[]): void {
  const listed = new Set(records.map(({ node }) => node))
  for (const member of [...state.directory.members.values()]) {
    const silent = state.now - member.lastHeardAt > REMOVAL_TIMEOUT
    if (member.node !== state.identity.nodeId && silent && !listed.has(member.node)) {
      removeMember(state.directory, member.node)
    }
  }
}

function receiveHeartbeat (state: MeshState, { message, from }: HeartbeatReceived): MeshEffect[] {
  if (message.node === state.identity.nodeId) return []
  const member = state.directory.members.get(message.node)
  // An unknown or restarted node introduces itself when it receives a hello.
  if (member === undefined || member.boot < message.boot) {
    return [{ slice: 'peer', type: 'send', to: from, message: composeHello(state, true) }]
  }
  // A late heartbeat of an earlier process of the node.
  if (member.boot !== message.boot) return []
  member.lastHeardAt = state.now
  member.load = message.load
  member.loadReceivedAt = state.now
  member.revision = message.revision
  if (message.leaving && !member.leaving) member.leavingSince = state.now
  member.leaving = message.leaving
  member.hearsThisNode = message.hearsReceiver
  return learnOfRevision(state, member, message.revision)
}

function receiveHello (state: MeshState, { message }: HelloReceived): MeshEffect[] {
  if (message.node === state.identity.nodeId) return []
  registerMember(state, message)
  const member = state.directory.members.get(message.node)
  const effects: MeshEffect[] = []
  if (member !== undefined && member.boot === message.boot) {
    member.lastHeardAt = state.now
    if (!message.wantsReply) member.hearsThisNode = true
    if (message.revision !== undefined) {
      member.revision = message.revision
      effects.push(...learnOfRevision(state, member, message.revision))
    }
  }
  if (!message.wantsReply) return effects
  return [...effects, { slice: 'peer', type: 'send', to: message.peerAddress, message: composeHello(state, false) }]
}

/** @returns whether the record is new */
function registerMember (state: MeshState, record: MemberRecord): boolean {
  const { members } = state.directory
  const existing = members.get(record.node)
  // Boot ids begin with the start time, so the later process has the greater id.
  if (existing !== undefined && existing.boot >= record.boot) return false
  removePreviousAtAddress(state, record)
  addMember(state.directory, createMember(state, record))
  return true
}

/** Removes nodes that used the address before. */
function removePreviousAtAddress ({ directory }: MeshState, record: MemberRecord): void {
  for (const { node, peerAddress, boot } of [...directory.members.values()]) {
    if (node !== record.node && peerAddress === record.peerAddress && boot < record.boot) removeMember(directory, node)
  }
}

/** Load of a node that has not reported any. */
const UNKNOWN_LOAD: LoadSummary = {
  open: true,
  slots: 1,
  used: 0,
  queued: 0,
  suspect: false,
  errorRate: 0,
  serviceMs: 0,
  dueMs: 0,
  limitDelayMs: 0
}

function createMember (state: MeshState, record: MemberRecord): Member {
  const { node, boot, dataCentre, service, peerAddress, forwardAddress } = record
  return {
    node,
    boot,
    dataCentre,
    service,
    peerAddress,
    forwardAddress,
    hash: hashText(node),
    registeredAt: state.now,
    lastHeardAt: state.now,
    hellosSent: 0,
    leaving: false,
    leavingSince: state.now,
    mayOwnRates: false,
    sendsHeartbeats: true,
    expectedSince: state.now,
    silentUntil: millis(0),
    hearsThisNode: true,
    revision: toId(0),
    load: UNKNOWN_LOAD,
    loadReceivedAt: millis(0),
    avoidUntil: millis(0),
    missed: 0
  }
}

function sendHeartbeats (state: MeshState): MeshEffect[] {
  const { directory, identity } = state
  updateHeartbeatPartners(state)
  const heartbeats = { heard: composeHeartbeat(state, true), silent: composeHeartbeat(state, false) }
  // A suspect server that its own data centre does not try needs a trial by another one.
  const { suspect, dueMs } = heartbeats.heard.load
  const needsRemoteTrial = suspect && dueMs <= -REMOTE_TRIAL_OVERDUE
  const includesRemote = directory.nextHeartbeat++ % REMOTE_HEARTBEAT_EVERY === 0 || needsRemoteTrial
  const effects: MeshEffect[] = [scheduleHeartbeat()]
  if (includesRemote) effects.push(...repeatHellos(state))
  for (const member of directory.members.values()) {
    if (member.node === identity.nodeId || member.leaving) continue
    if (!member.sendsHeartbeats && !needsRemoteTrial) continue
    const silent = !isHeardRecently(state, member)
    // A node whose heartbeats have just stopped arriving is notified at once, because it must no longer grant this
    // node's share of a rate.
    const becameSilent = silent && isAlive(state, member)
    if (!includesRemote && !becameSilent && member.dataCentre !== identity.dataCentre) continue
    const message = silent ? heartbeats.silent : heartbeats.heard
    effects.push({ slice: 'peer', type: 'send', to: member.peerAddress, message })
  }
  removeDeparted(state)
  const isDue = state.now - directory.registryReadAt > REGISTRY_INTERVAL
  if (directory.registered && (isDue || isRecordLost(state))) {
    directory.registryReadAt = state.now
    effects.push({ slice: 'directory', type: 'syncRegistry', own: describeRecord(state) })
  }
  return effects
}

/**
 * Introduces this node again to members that have sent nothing since they were registered. The introduction may have
 * been lost, and nodes that exchange no heartbeats would not notice.
 */
function repeatHellos (state: MeshState): MeshEffect[] {
  const message = composeHello(state, true)
  const effects: MeshEffect[] = []
  for (const member of state.directory.members.values()) {
    if (member.node === state.identity.nodeId || member.leaving || member.hellosSent === 0) continue
    if (member.lastHeardAt !== member.registeredAt || member.hellosSent >= MAX_HELLOS) continue
    member.hellosSent += 1
    effects.push({ slice: 'peer', type: 'send', to: member.peerAddress, message })
  }
  return effects
}

/**
 * Decides whether to write this node's record again, because the store was restored since. Most nodes of a large fleet
 * wait for a later interval, so that they do not all call the store at once.
 */
function isRecordLost ({ admission, configuration, directory, lifecycle, random }: MeshState): boolean {
  if (configuration.era <= directory.recordEra || lifecycle.stopping) return false
  // The next process of this node must not use a server whose departure was acknowledged.
  if (admission.departure !== undefined) return true
  return uniformInt(random, 0, directory.members.size - 1) < RECORDS_PER_INTERVAL
}

/** Removes nodes that left on purpose, so that team rates are no longer divided among them. */
function removeDeparted (state: MeshState): void {
  for (const member of [...state.directory.members.values()]) {
    if (member.leaving && state.now - member.lastHeardAt > REMOVAL_TIMEOUT) removeMember(state.directory, member.node)
  }
}
