import { type DeclarationProblem, formatProblem } from '@lavenderturn/declaration'
import { resultCodes } from '@lavenderturn/types'
import { exitCodes } from '../exitCodes'
import type { Output } from '../Output'

/**
 * @param problems - validation errors of a declaration
 * @returns the output of a command that fails because of them
 * @internal
 */
export function describeProblems (problems: readonly DeclarationProblem[]): Output {
  const { code, title } = resultCodes.invalidDeclaration
  return {
    lines: [...problems.map(formatProblem), `${code} ${title}: ${formatCount(problems.length, 'problem')}`],
    value: { valid: false, code, problems },
    exitCode: exitCodes.failed
  }
}

/**
 * @param count - number of items
 * @param noun - singular of the noun
 * @returns for example `2 routes`
 * @internal
 */
export function formatCount (count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`
}
