import { type Declaration, describeDelta, diffDeclarations, isEmptyDelta } from '@lavenderturn/declaration'
import type { Revision } from '@lavenderturn/types'
import type { ControlClient } from '../client/ControlClient'
import { exitCodes } from '../exitCodes'
import type { Output } from '../Output'
import { readDeclarationFiles } from '../readDeclarationFiles'
import { describeProblems } from './describeProblems'

/** @internal */
export interface DiffOptions {
  readonly files: readonly string[]
  /** What to compare with: other files, or the node. */
  readonly against: readonly string[] | ControlClient
}

/**
 * Prints what would change from a node's declaration, or from other files, to the given files.
 *
 * @param options - both sides
 * @returns one line a change
 * @internal
 */
export async function diff ({ files, against }: DiffOptions): Promise<Output> {
  const after = await readDeclarationFiles(files)
  if (!after.ok) return describeProblems(after.problems)
  const before = await readBefore(against)
  if ('lines' in before) return before
  const delta = diffDeclarations(before.declaration, after.declaration)
  return {
    lines: isEmptyDelta(delta) ? ['nothing changes'] : describeDelta(delta),
    value: { base: before.revision, ...delta },
    exitCode: exitCodes.done
  }
}

async function readBefore (
  against: DiffOptions['against']
): Promise<Output | { readonly revision?: Revision, readonly declaration: Declaration }> {
  if (!isPaths(against)) return await against.getDeclaration()
  const result = await readDeclarationFiles(against)
  return result.ok ? result : describeProblems(result.problems)
}

function isPaths (against: DiffOptions['against']): against is readonly string[] {
  return Array.isArray(against)
}
