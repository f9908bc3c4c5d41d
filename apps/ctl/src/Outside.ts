import type { Address, Millis } from '@lavenderturn/types'
import type { ApplyOutside } from './apply/runApply'
import type { ControlClient } from './client/ControlClient'

/** What the program uses of its surroundings; tests pass their own. @public */
export interface Outside extends Pick<ApplyOutside, 'now' | 'sleep'> {
  readonly writeOut: (text: string) => void
  readonly writeError: (text: string) => void
  readonly readInput: () => Promise<string>
  readonly randomBytes: (count: number) => Buffer
  readonly createClient: (options: { readonly address: Address, readonly timeout: Millis }) => ControlClient
}
