/** A message is incomplete, or contains a number that is out of range. @public */
export class BadMessageError extends Error {
  override readonly name = 'BadMessageError'
}

/**
 * Validates an amount. A negative number or NaN would make the accounting of tokens and shares permanently wrong.
 *
 * @param value - the number from the message
 * @returns the same number
 * @throws BadMessageError if it is missing, not finite or negative
 * @internal
 */
export function readAmount (value: number | undefined): number {
  if (value === undefined || !Number.isFinite(value) || value < 0) throw new BadMessageError(`invalid amount: ${value}`)
  return value
}

/**
 * Validates a fraction.
 *
 * @param value - the number from the message
 * @returns the same number
 * @throws BadMessageError if it is outside of `[0, 1]`, with a tolerance for rounding errors
 * @internal
 */
export function readFraction (value: number | undefined): number {
  const fraction = readAmount(value)
  if (fraction > 1 + FRACTION_TOLERANCE) throw new BadMessageError(`invalid fraction: ${value}`)
  return fraction
}

/** Sums of fractions may exceed 1 by this much because of rounding errors. */
const FRACTION_TOLERANCE = 1e-6
