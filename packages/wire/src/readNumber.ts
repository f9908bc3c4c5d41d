/** A message holds a number that no node sends. @public */
export class BadMessageError extends Error {
  override readonly name = 'BadMessageError'
}

/**
 * Reads an amount. Books that take in a negative number or NaN would never add up again.
 *
 * @param value - the number from the message
 * @returns the same number
 * @throws BadMessageError unless it is finite and not negative
 * @internal
 */
export function readAmount (value: number | undefined): number {
  if (value === undefined || !Number.isFinite(value) || value < 0) throw new BadMessageError(`not an amount: ${value}`)
  return value
}

/**
 * Reads a part of a whole.
 *
 * @param value - the number from the message
 * @returns the same number
 * @throws BadMessageError unless it lies in `[0, 1]`, with some room for rounding
 * @internal
 */
export function readFraction (value: number | undefined): number {
  const fraction = readAmount(value)
  if (fraction > 1 + FRACTION_TOLERANCE) throw new BadMessageError(`not a fraction: ${value}`)
  return fraction
}

/** Rounding error that sums of fractions may have. */
const FRACTION_TOLERANCE = 1e-6
