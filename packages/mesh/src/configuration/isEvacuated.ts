import { type DataCentreId, millis } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'

/**
 * @param state - the node's state
 * @param dataCentre - a data centre
 * @returns whether its servers get no new work, because operators have taken it out
 * @internal
 */
export function isEvacuated ({ configuration, now }: MeshState, dataCentre: DataCentreId): boolean {
  const retainedUntil = configuration.retainedEvacuations.get(dataCentre) ?? millis(0)
  return configuration.evacuated.has(dataCentre) || now < retainedUntil
}
