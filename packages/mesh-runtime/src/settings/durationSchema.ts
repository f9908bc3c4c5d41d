import { type Millis, millis } from '@lavenderturn/types'
import * as z from 'zod/mini'

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s)$/
const MILLISECONDS_PER_SECOND = 1_000

/** A duration as text: a number with the unit `ms` or `s`. @public */
export const durationSchema = z.pipe(
  z.string().check(z.regex(DURATION_PATTERN, 'expected a number with a unit, ms or s')),
  z.transform(parseDuration)
)

function parseDuration (value: string): Millis {
  const [, count, unit] = DURATION_PATTERN.exec(value)!
  return millis(Number(count) * (unit === 's' ? MILLISECONDS_PER_SECOND : 1))
}
