import type { WriteHead } from '../control/PlatformEffect'
import { listWeights } from '../control/majority'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

/**
 * I13: the head row is raised by one revision at a time, from the revision in force at the writer, and only after
 * data centres with a majority of the members have recorded the intent.
 *
 * @param state - the state after the step that writes the head
 * @param effect - the compare-and-set
 * @throws InvariantError when the write is not proven
 * @internal
 */
export function assertHeadWriteProven (state: NodeState, { head, expected, notAfter }: WriteHead): void {
  const { control } = state
  const write = control.writes.get(head.token)
  if (write === undefined) throw new InvariantError('I13', `${head.token} is not a write of this node`)
  if (head.revision !== expected + 1) {
    throw new InvariantError('I13', `revision ${head.revision} written over revision ${expected}`)
  }
  // A repeated write has the proof of the first: pollers keep the intent until the outcome is known.
  if (write.sends > 1) return
  if (notAfter < write.phaseAt) throw new InvariantError('I13', `${head.token} is sent after its proof has expired`)
  let total = 0
  let prepared = 0
  for (const [dataCentre, weight] of listWeights(state)) {
    const pollers = control.pollers.get(dataCentre) ?? []
    const acks = pollers.filter((node) => write.acks.has(node)).length
    total += weight
    if (2 * acks > pollers.length) prepared += weight
  }
  if (2 * prepared <= total) {
    throw new InvariantError('I13', `${head.token} has ${prepared} of ${total} members behind it`)
  }
}
