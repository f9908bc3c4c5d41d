import type { NodeId, ServerVersion, ServiceId } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'
import { isSameOrder, type RolloutPhase } from './RolloutOrder'

/** A roll-out as one node knows it, for operators. @public */
export interface RolloutDescription {
  readonly service: ServiceId
  readonly to: ServerVersion
  /** Absent if the node does not know it. */
  readonly phase?: RolloutPhase
  readonly elapsedMs: number
  readonly durationMs: number
  readonly withdrawn: boolean
  /** Versions of earlier orders that were not completed. */
  readonly excluded: readonly ServerVersion[]
  /** Present on nodes that follow the store while the roll-out goes on. */
  readonly record?: {
    readonly conductor: NodeId
    readonly reason: string
    /** Processes that may pass requests on to the version, and how many. */
    readonly processes: number
    readonly requests: number
  }
  /** Why the phase does not change; present on the conductor. */
  readonly evidence?: string
}

/**
 * @param state - the node's state
 * @returns the roll-outs that the node knows of
 * @public
 */
export function describeRollouts ({ now, rollout: { conducts, rollouts } }: Readonly<MeshState>): RolloutDescription[] {
  return [...rollouts.values()].map(({ order, phase, isPhaseKnown, orderedAt, withdrawn, excluded }) => {
    const { service, to, duration: durationMs } = order
    const conduct = conducts.get(service)
    const record = conduct?.stored?.record
    const isCurrent = record !== undefined && isSameOrder(record.order, order)
    return {
      service,
      to,
      ...isPhaseKnown && { phase },
      elapsedMs: Math.round(now - orderedAt),
      durationMs,
      withdrawn,
      excluded: [...excluded],
      ...isCurrent && {
        record: {
          conductor: record.conductor,
          reason: record.reason,
          processes: record.allowances.length,
          requests: record.allowances.reduce((sum, { requests }) => sum + requests, 0)
        }
      },
      ...conduct?.evidence !== undefined && { evidence: conduct.evidence }
    }
  })
}
