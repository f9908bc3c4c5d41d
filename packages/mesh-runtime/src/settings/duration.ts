import { type Millis, millis } from '@lavenderturn/types'
import * as z from 'zod/mini'

const DURATION = /^(\d+(?:\.\d+)?)(ms|s)$/
const MILLISECONDS_PER_SECOND = 1_000

/** A time in text: a number with its unit, `ms` or `s`. @public */
export const duration = z.pipe(
  z.string().check(z.regex(DURATION, 'expected a number and its unit, ms or s')),
  z.transform(parseDuration)
)

function parseDuration (value: string): Millis {
  const [, count, unit] = DURATION.exec(value)!
  return millis(Number(count) * (unit === 's' ? MILLISECONDS_PER_SECOND : 1))
}
