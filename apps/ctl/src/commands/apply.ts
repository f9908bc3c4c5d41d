import { describeDelta, isEmptyDelta } from '@lavenderturn/declaration'
import { type Millis, type NodeId, resultCodes, type Revision, toId } from '@lavenderturn/types'
import type { ApplyOutcome } from '../apply/ApplyEffect'
import { createApplyState } from '../apply/ApplyState'
import { runApply } from '../apply/runApply'
import type { ControlClient } from '../client/ControlClient'
import { exitCodes } from '../exitCodes'
import type { Output } from '../Output'
import type { CtlDependencies } from '../CtlDependencies'
import { readDeclarationFiles } from '../readDeclarationFiles'
import { describeProblems } from './describeProblems'

/** 128 random bits, so that tokens of different operators do not collide. */
const TOKEN_BYTES = 16

/** @internal */
export interface ApplyOptions {
  readonly files: readonly string[]
  readonly client: ControlClient
  readonly base?: Revision
  readonly dryRun: boolean
  readonly wait: Millis
}

/**
 * Submits a declaration and waits until it is in force on all members.
 *
 * @param options - files, client, base revision and time limit
 * @param dependencies - clock and random bytes
 * @returns the outcome, as far as it is known
 * @internal
 */
export async function apply (
  { files, client, ...options }: ApplyOptions, { now, sleep, randomBytes }: CtlDependencies
): Promise<Output> {
  const result = await readDeclarationFiles(files)
  if (!result.ok) return describeProblems(result.problems)
  const token = toId<never>(randomBytes(TOKEN_BYTES).toString('hex'))
  const state = createApplyState({ ...options, declaration: result.declaration, token })
  const outcome = await runApply(state, { client, now, sleep })
  return { lines: describeOutcome(outcome), value: toJsonValue(outcome), exitCode: toExitCode(outcome) }
}

function describeOutcome (outcome: ApplyOutcome): string[] {
  switch (outcome.kind) {
    case 'nothingToDo': return [`nothing changes: revision ${outcome.revision} already holds this declaration`]
    case 'dryRun': {
      const changes = isEmptyDelta(outcome.delta) ? ['nothing changes'] : describeDelta(outcome.delta)
      return [...changes, `dry run: nothing was applied; the base is revision ${outcome.base}`]
    }
    case 'notApplied': return [describeRefusal(outcome)]
    case 'unknown': {
      const { code, title } = resultCodes.acceptanceUnknown
      return [
        `${code} ${title}: ${outcome.detail}`,
        `the base was revision ${outcome.base}, the token ${outcome.token}; look at "get" before you apply again`
      ]
    }
    case 'accepted': return describeAccepted(outcome)
  }
}

function describeRefusal ({ result, detail }: Extract<ApplyOutcome, { kind: 'notApplied' }>): string {
  if (result === undefined) return `not applied: ${detail}`
  const { code, title } = resultCodes[result]
  return `${code} ${title}${detail === undefined ? '' : `: ${detail}`}`
}

function describeAccepted (
  { revision, delta, inForce, pending, detail }: Extract<ApplyOutcome, { kind: 'accepted' }>
): string[] {
  const lines = [...describeDelta(delta), `accepted as revision ${revision}`]
  if (inForce.length > 0) lines.push(`in force on ${listNodes(inForce)}`)
  if (pending.length > 0) lines.push(`not seen in force on ${listNodes(pending)}`)
  if (detail !== undefined) lines.push(`the members could not be read: ${detail}`)
  return lines
}

function listNodes (nodes: readonly NodeId[]): string {
  return `${nodes.length}: ${nodes.join(', ')}`
}

function toExitCode (outcome: ApplyOutcome): Output['exitCode'] {
  if (outcome.kind === 'notApplied') return exitCodes.failed
  if (outcome.kind === 'unknown') return exitCodes.unknown
  if (outcome.kind !== 'accepted') return exitCodes.done
  return outcome.pending.length > 0 || outcome.detail !== undefined ? exitCodes.pending : exitCodes.done
}

function toJsonValue (outcome: ApplyOutcome): unknown {
  if (outcome.kind === 'unknown') return { ...outcome, code: resultCodes.acceptanceUnknown.code }
  if (outcome.kind !== 'notApplied' || outcome.result === undefined) return outcome
  return { ...outcome, code: resultCodes[outcome.result].code }
}
