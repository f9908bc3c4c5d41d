import { EjectionPolicy } from './EjectionPolicy'
import type { Observation } from './Observation'

/** @public */
export interface ConsecutiveErrorsOptions {
  readonly errorsInRow?: number
}

/** Baseline: a backend server is sick after some errors in a row. Slow servers are missed. @public */
export class ConsecutiveErrorsEjection extends EjectionPolicy {
  private readonly errorsInRow: number

  constructor ({ errorsInRow = 5 }: ConsecutiveErrorsOptions = {}) {
    super()
    this.errorsInRow = errorsInRow
  }

  override isSick ({ errorsInRow }: Observation): boolean {
    return errorsInRow >= this.errorsInRow
  }

  override failsTrial ({ errorsInRow }: Observation): boolean {
    return errorsInRow > 0
  }
}
