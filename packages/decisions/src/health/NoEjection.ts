import { EjectionPolicy } from './EjectionPolicy'

/** Baseline: no backend server is ever ejected. @public */
export class NoEjection extends EjectionPolicy {
  override isSick (): boolean {
    return false
  }

  override failsTrial (): boolean {
    return false
  }
}
