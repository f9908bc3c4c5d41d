import type { Millis } from '@lavenderturn/types'

/**
 * @param spans - intervals with a disturbance
 * @param from - start of the interval to test
 * @param to - end of the interval to test
 * @returns whether any span overlaps the interval
 * @internal
 */
export function overlapsDisturbance (
  spans: ReadonlyArray<{ readonly from: Millis, readonly to: Millis }>, from: number, to: number
): boolean {
  return spans.some((span) => span.from <= to && span.to >= from)
}
