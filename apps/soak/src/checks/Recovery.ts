import { STEADY_TEAM, type SoakState } from '../SoakState'
import { InvariantCheck } from './InvariantCheck'

/** Checks that all requests succeed after the faults have ended and the recovery time has passed. @public */
export class Recovery extends InvariantCheck {
  override readonly name = 'recovery'

  override checkFinalState ({ requests, verificationStartedAt }: SoakState): string[] {
    if (verificationStartedAt === undefined) return ['the calm was not reached']
    const verified = [...requests.values()]
      .filter(({ team, sentAt }) => team === STEADY_TEAM && sentAt >= verificationStartedAt)
    const failed = verified.filter(({ result }) => result?.kind !== 'answer')
    if (verified.length === 0) return ['no request was sent in the calm']
    return failed.map(({ id, node, result }) => `${id} failed at ${node} in the calm: ${JSON.stringify(result)}`)
  }
}
