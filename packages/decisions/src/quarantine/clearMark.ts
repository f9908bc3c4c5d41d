import type { Fingerprint } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'

/**
 * Clears the mark of a fingerprint after a run that completed with a response. The cleared crashes are remembered, so
 * that gossip does not bring them back. A quarantine lasts its time.
 *
 * @param state - the node's state
 * @param fingerprint - fingerprint of the request that completed
 * @internal
 */
export function clearMark (state: NodeState, fingerprint: Fingerprint): void {
  const mark = state.quarantine.marks.get(fingerprint)
  if (mark === undefined) return
  for (const crash of mark.crashes) mark.cleared.add(crash)
}
