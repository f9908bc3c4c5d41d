import type { Millis } from '@lavenderturn/types'
import type { SoakEvent } from '../SoakEvent'
import type { SoakState } from '../SoakState'
import { BOUNDS, COLD_RATE_PER_SECOND, COLD_TIME } from '../soakTimings'
import { InvariantCheck } from './InvariantCheck'

const WINDOW_MS = 1_000
const LIMIT = COLD_RATE_PER_SECOND * BOUNDS.coldOver + BOUNDS.coldSlack

/** Checks that a cold server never receives more than its cold rate within a second. @public */
export class ColdServerRate extends InvariantCheck {
  override readonly name = 'cold servers'
  private readonly starts = new Map<string, Millis[]>()

  override checkEvent (state: SoakState, event: SoakEvent): string[] {
    if (event.type !== 'runStarted') return []
    const { startedAt, status } = state.servers.get(event.node)!
    if (status !== 'ready' || startedAt === 0 || event.at - startedAt > COLD_TIME) return []
    const recent = (this.starts.get(event.node) ?? []).filter((at) => at >= startedAt && event.at - at < WINDOW_MS)
    recent.push(event.at)
    this.starts.set(event.node, recent)
    return recent.length > LIMIT ? [`${recent.length} requests within a second at the cold server of ${event.node}`] : []
  }
}
