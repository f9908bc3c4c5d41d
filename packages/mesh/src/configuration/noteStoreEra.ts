import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { FIRST_POSITION, type StoreEra } from './StorePosition'

/**
 * Notes that the store was seen in an era.
 *
 * @param state - the node's state
 * @param era - the era
 * @returns effects
 * @internal
 */
export function noteStoreEra ({ configuration }: MeshState, era: StoreEra): MeshEffect[] {
  const { era: previousEra, position: { version }, current } = configuration
  if (era <= previousEra) return []
  configuration.era = era
  if (previousEra === FIRST_POSITION.era) return []
  const fields = { era, previousEra, version, revisionInForce: current?.revision }
  return [{ slice: 'log', type: 'line', level: 'warn', message: 'store was restored', fields }]
}
