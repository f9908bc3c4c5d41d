import type { NodeEvent, RuntimeEffect } from '@lavenderturn/decisions'
import type { TeamId } from '@lavenderturn/types'
import { StepObserver } from '../Runtime'

/** Window over which requests are counted. */
const WINDOW_MS = 10_000

const MS_PER_SECOND = 1_000

/** Counts the admitted requests of each team at this gateway. @public */
export class TeamUsage extends StepObserver {
  private counts = new Map<TeamId, number>()
  private previousCounts = new Map<TeamId, number>()
  private windowStart = 0

  /** {@inheritDoc StepObserver.observe} */
  override observe (event: NodeEvent, effects: readonly RuntimeEffect[]): void {
    if (event.at - this.windowStart >= WINDOW_MS) {
      this.previousCounts = event.at - this.windowStart < 2 * WINDOW_MS ? this.counts : new Map()
      this.counts = new Map()
      this.windowStart = event.at
    }
    if (event.slice !== 'gateway') return
    // Retries follow other events than the arrival and the charge, so they are not counted twice.
    if (event.type !== 'requestArrived' && event.type !== 'charged') return
    for (const effect of effects) {
      if (effect.slice !== 'gateway' || effect.type !== 'forward' || effect.team === undefined) continue
      this.counts.set(effect.team, (this.counts.get(effect.team) ?? 0) + 1)
    }
  }

  /**
   * @param team - a team
   * @returns requests per second over the last complete window
   */
  usedPerSecond (team: TeamId): number {
    return (this.previousCounts.get(team) ?? 0) * MS_PER_SECOND / WINDOW_MS
  }

  /** @returns teams with requests in the last complete window or the current one */
  listTeams (): TeamId[] {
    return [...new Set([...this.previousCounts.keys(), ...this.counts.keys()])]
  }
}
