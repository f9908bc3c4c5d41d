import type { SoakReport } from './runSoak'

/** Limit of printed violations per run; further ones rarely have another cause. */
const MAX_SHOWN_VIOLATIONS = 5

/**
 * @returns heading of the table of runs
 * @public
 */
export function formatSoakHeading (): string {
  return 'seed      requests  answered  refused  cut  verdict  faults'
}

/**
 * @param report - report of a run
 * @returns one row of the table, followed by the violations
 * @public
 */
export function formatSoakReport (report: SoakReport): string[] {
  const { seed, requests, answered, refused, cut, violations, plan, folder } = report
  const columns = [
    String(seed).padEnd(8), String(requests).padEnd(8), String(answered).padEnd(8), String(refused).padEnd(7),
    String(cut).padEnd(3), (violations.length === 0 ? 'kept' : 'BROKEN').padEnd(7),
    plan.map(({ action: { kind } }) => kind).join(' ')
  ]
  return [
    columns.join('  '),
    ...violations.slice(0, MAX_SHOWN_VIOLATIONS).map((violation) => `  ${violation}`),
    ...violations.length > MAX_SHOWN_VIOLATIONS ? [`  and ${violations.length - MAX_SHOWN_VIOLATIONS} more`] : [],
    ...violations.length > 0 ? [`  logs: ${folder}`] : []
  ]
}
