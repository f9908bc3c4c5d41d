import type { Fingerprint } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'

/**
 * Clears the crashes of a fingerprint after one of its requests completed with a response. The cleared crashes are
 * kept, so that gossip does not add them again. A quarantine in force does not end early.
 *
 * @param state - the node's state
 * @param fingerprint - the fingerprint
 * @internal
 */
export function clearCrashes (state: NodeState, fingerprint: Fingerprint): void {
  const mark = state.quarantine.marks.get(fingerprint)
  if (mark === undefined) return
  for (const crash of mark.crashes) mark.cleared.add(crash)
}
