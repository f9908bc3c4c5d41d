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
  /** Files of the other declaration, or a node whose declaration is read. */
  readonly against: readonly string[] | ControlClient
}

/**
 * Compares the given files with the declaration of a node or of other files.
 *
 * @param options - both declarations
 * @returns one line per change
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
