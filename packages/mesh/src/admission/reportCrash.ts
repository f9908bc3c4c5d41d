import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { CrashMessage } from '../messages/PeerMessage'
import { recordCrash } from '../quarantine/recordCrash'
import { CRASH_WINDOW } from './admissionTimings'

/**
 * Attributes a crash of the backend server to the requests whose runs broke shortly before, and notifies all nodes.
 *
 * @param state - the node's state
 * @returns effects
 * @internal
 */
export function reportCrash (state: MeshState): MeshEffect[] {
  const { admission, now } = state
  const server = admission.server!
  const effects: MeshEffect[] = []
  const recentRuns = admission.brokenRuns.splice(0).filter(({ at }) => now - at < CRASH_WINDOW)
  for (const fingerprint of new Set(recentRuns.map((run) => run.fingerprint))) {
    const message: CrashMessage = {
      kind: 'crash', fingerprint, endpoint: server.endpoint, startedAt: server.startedAt
    }
    recordCrash(state, message)
    for (const { node, peerAddress } of state.directory.members.values()) {
      if (node !== state.identity.nodeId) effects.push({ slice: 'peer', type: 'send', to: peerAddress, message })
    }
  }
  return effects
}
