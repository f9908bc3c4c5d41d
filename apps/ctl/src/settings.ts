import { DEFAULT_TIMEOUT } from './client/ControlClient'

/** Default time limit of `apply`; without a partition, a revision is in force on all members within 3 s. */
const DEFAULT_WAIT_MS = 10_000

/** A command line flag and its environment variable. @public */
export interface Setting {
  readonly flag: string
  readonly environment: string
  readonly description: string
  readonly commands: readonly string[]
  readonly required?: boolean
  readonly default?: string
  /** Absent for a flag without a value. */
  readonly value?: { readonly name: string, readonly pattern: RegExp, readonly rule: string }
}

const duration = { name: 'MS', pattern: /^[1-9][0-9]{0,6}$/, rule: 'must be a whole number of milliseconds above 0' }

/** All settings by name. A test keeps `docs/configuration-ctl.md` in sync with them. @public */
export const settings = {
  node: {
    flag: 'node',
    environment: 'LAVENDERTURN_NODE',
    description: 'Admin port of any node',
    commands: ['diff', 'apply', 'get', 'status', 'rollout status'],
    required: true,
    value: { name: 'HOST:PORT', pattern: /^[^\s/@]+:[1-9][0-9]{0,4}$/, rule: 'must be HOST:PORT' }
  },
  against: {
    flag: 'against',
    environment: 'LAVENDERTURN_AGAINST',
    description: 'Files or folders of another declaration to compare with, separated by commas, in place of a node',
    commands: ['diff'],
    value: { name: 'FILES', pattern: /./, rule: 'must name a file' }
  },
  base: {
    flag: 'base',
    environment: 'LAVENDERTURN_BASE',
    description: 'Revision that the declaration is meant to follow; by default the one in force',
    commands: ['apply'],
    value: { name: 'REVISION', pattern: /^(?:0|[1-9][0-9]{0,14})$/, rule: 'must be a whole number' }
  },
  dryRun: {
    flag: 'dry-run',
    environment: 'LAVENDERTURN_DRY_RUN',
    description: 'Print what would change and apply nothing',
    commands: ['apply']
  },
  wait: {
    flag: 'wait-ms',
    environment: 'LAVENDERTURN_WAIT_MS',
    description: 'How long to ask after a lost answer, and then for the revision to be in force',
    commands: ['apply'],
    default: String(DEFAULT_WAIT_MS),
    value: duration
  },
  timeout: {
    flag: 'timeout-ms',
    environment: 'LAVENDERTURN_TIMEOUT_MS',
    description: 'Timeout of each call to the node',
    commands: ['diff', 'apply', 'get', 'status', 'rollout status'],
    default: String(DEFAULT_TIMEOUT),
    value: duration
  },
  json: {
    flag: 'json',
    environment: 'LAVENDERTURN_JSON',
    description: 'Print JSON for programs',
    commands: ['validate', 'diff', 'apply', 'get', 'status', 'rollout status', 'key new', 'key hash']
  }
} as const satisfies Record<string, Setting>

/**
 * @param setting - a setting
 * @returns its name in messages
 * @internal
 */
export function nameSetting ({ flag, environment }: Setting): string {
  return `--${flag} (${environment})`
}
