import { createDocument, diffDeclarations, documentToDeclaration, emptyDeclaration } from '@lavenderturn/declaration'
import { addRevision, type Revision } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { type Assignment, type AssignmentEntry, assignmentKey } from './Assignment'
import { assignUnowned, replaceDeadOwners } from './assignOwners'
import type { ControlChange } from './ControlState'
import { listUnrecordedHandOvers } from './describeFreshness'
import type { ControlDelta, ControlSnapshot } from './HeadRow'

/** Delta and snapshot of a write. @internal */
export interface WriteContent {
  readonly delta: ControlDelta
  readonly snapshot: ControlSnapshot
}

/**
 * Builds the next revision from the one in force at this node, which must be the head's revision.
 *
 * @param state - the node's state
 * @param change - change to make
 * @returns delta and snapshot, or undefined if there is nothing to change
 * @internal
 */
export function buildWrite (state: NodeState, change: ControlChange): WriteContent | undefined {
  const revision = addRevision(state.control.revision, 1)
  return change.kind === 'declaration'
    ? buildDeclaration(state, change, revision)
    : buildAssignment(state, revision)
}

function buildDeclaration (
  state: NodeState, { declaration }: Extract<ControlChange, { kind: 'declaration' }>, revision: Revision
): WriteContent {
  const { assignment, document } = state.control
  const before = document === undefined ? emptyDeclaration() : documentToDeclaration(document)
  const { domains } = createDocument({ declaration, revision })
  const added = assignUnowned(state, domains).concat(listUnrecordedHandOvers(state))
  return {
    delta: { revision, declaration: diffDeclarations(before, declaration), assignment: added },
    snapshot: { revision, declarationRevision: revision, declaration, assignment: mergeAssignment(assignment, added) }
  }
}

function buildAssignment (state: NodeState, revision: Revision): WriteContent | undefined {
  const { assignment, document } = state.control
  if (document === undefined) return undefined
  const replaced = replaceDeadOwners(state)
  const replacedKeys = new Set(replaced.map(toKey))
  const changed = replaced.concat(listUnrecordedHandOvers(state).filter((entry) => !replacedKeys.has(toKey(entry))))
  if (changed.length === 0) return undefined
  return {
    delta: { revision, assignment: changed },
    snapshot: {
      revision,
      declarationRevision: document.revision,
      declaration: documentToDeclaration(document),
      assignment: mergeAssignment(assignment, changed)
    }
  }
}

function mergeAssignment (assignment: Assignment, changed: readonly AssignmentEntry[]): AssignmentEntry[] {
  const merged = new Map(assignment)
  for (const entry of changed) merged.set(toKey(entry), entry)
  return [...merged.values()]
}

function toKey ({ partition, domain }: AssignmentEntry): string {
  return assignmentKey(partition, domain)
}
