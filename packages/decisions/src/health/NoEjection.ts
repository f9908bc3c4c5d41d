import { EjectionPolicy } from './EjectionPolicy'

/** Baseline policy: never ejects a backend server. @public */
export class NoEjection extends EjectionPolicy {
  override isUnhealthy (): boolean {
    return false
  }

  override failsTrial (): boolean {
    return false
  }
}
