import { EjectionPolicy } from './EjectionPolicy'
import type { Observation } from './Observation'

/** @public */
export interface ConsecutiveErrorsOptions {
  /** Consecutive failed responses that make a server unhealthy. */
  readonly errorsInRow?: number
}

/** Baseline policy: ejects a backend server after several consecutive errors. Misses slow servers. @public */
export class ConsecutiveErrorsEjection extends EjectionPolicy {
  private readonly errorsInRow: number

  constructor ({ errorsInRow = 5 }: ConsecutiveErrorsOptions = {}) {
    super()
    this.errorsInRow = errorsInRow
  }

  override isUnhealthy ({ errorsInRow }: Observation): boolean {
    return errorsInRow >= this.errorsInRow
  }

  override failsTrial ({ errorsInRow }: Observation): boolean {
    return errorsInRow > 0
  }
}
