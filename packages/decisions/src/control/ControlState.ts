import type { Millis } from '@lavenderturn/types'
import type { Assignment } from './Assignment'
import type { ControlDocument } from '@lavenderturn/declaration'

/** @public */
export interface ControlState {
  /** Undefined until the first document is known; team traffic is refused until then. */
  document: ControlDocument | undefined
  /** Owners of partitions, with hand-overs that the head row does not show yet. */
  readonly assignment: Assignment
  /** When the node was last sure that no newer revision can be in force. */
  freshAt: Millis
}

/**
 * @param options - `now`: start time
 * @returns the state of a node that knows no document
 * @internal
 */
export function createControlState ({ now }: { readonly now: Millis }): ControlState {
  return { document: undefined, assignment: new Map(), freshAt: now }
}
