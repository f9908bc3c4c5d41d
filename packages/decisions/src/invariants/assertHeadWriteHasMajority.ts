import type { WriteHead } from '../control/PlatformEffect'
import { countMembers } from '../control/majority'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

/**
 * I13: a write of the head row increments the revision in force at the writer by exactly one, and happens only after
 * data centres with a majority of the members have recorded the intent.
 *
 * @param state - the state after the step that writes the head
 * @param effect - the compare-and-set
 * @throws InvariantError if the write is not backed by a majority
 * @internal
 */
export function assertHeadWriteHasMajority (state: NodeState, { head, expected, notAfter }: WriteHead): void {
  const { control } = state
  const write = control.writes.get(head.token)
  if (write === undefined) throw new InvariantError('I13', `write ${head.token} was not started by this node`)
  if (head.revision !== expected + 1) {
    throw new InvariantError('I13', `revision ${head.revision} would replace revision ${expected}`)
  }
  // A repeated write relies on the majority of the first one: pollers keep the intent until the outcome is known.
  if (write.sendCount > 1) return
  if (notAfter < write.phaseStartedAt) throw new InvariantError('I13', `write ${head.token} was sent too late`)
  let total = 0
  let prepared = 0
  for (const [dataCentre, weight] of countMembers(state)) {
    const pollers = control.pollers.get(dataCentre) ?? []
    const acks = pollers.filter((node) => write.acks.has(node)).length
    total += weight
    if (2 * acks > pollers.length) prepared += weight
  }
  if (2 * prepared <= total) {
    throw new InvariantError(
      'I13', `write ${head.token} is backed by ${prepared} of ${total} members, which is no majority`
    )
  }
}
