import type { Millis } from '@lavenderturn/types'
import type { Bounds } from '../Bounds'

/** Limits on a version that is not proven. @internal */
export interface ExposureBounds {
  readonly exposeShare: number
  readonly exposeSlack: number
  readonly rollback: Millis
}

/**
 * @param bounds - the bounds of the deployment
 * @returns the limits on a version that is not proven, or undefined if the deployment rolls out no versions
 * @internal
 */
export function findExposureBounds ({ exposeShare, exposeSlack, rollback }: Bounds): ExposureBounds | undefined {
  if (exposeShare === undefined || exposeSlack === undefined || rollback === undefined) return undefined
  return { exposeShare, exposeSlack, rollback }
}

/**
 * @param bounds - the bounds of the deployment
 * @returns whether versions are rolled out in the deployment
 * @internal
 */
export function hasRollouts (bounds: Bounds): boolean {
  return findExposureBounds(bounds) !== undefined
}
