import type { Address, Millis } from '@lavenderturn/types'
import type { ApplyDependencies } from './apply/runApply'
import type { ControlClient } from './client/ControlClient'

/** I/O, time and randomness that the program uses; tests replace them. @public */
export interface CtlDependencies extends Pick<ApplyDependencies, 'now' | 'sleep'> {
  readonly writeOut: (text: string) => void
  readonly writeError: (text: string) => void
  readonly readInput: () => Promise<string>
  readonly randomBytes: (count: number) => Buffer
  readonly createClient: (options: { readonly address: Address, readonly timeout: Millis }) => ControlClient
}
