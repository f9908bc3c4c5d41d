import type { LoadReport } from '@lavenderturn/decisions'

/**
 * Writes a load report as a header value.
 *
 * @param load - the report
 * @returns `slots,limit,inFlight,queued,verdict`
 */
export function formatLoad ({ slots, limit, inFlight, queued, verdict }: LoadReport): string {
  return [slots, limit, inFlight, queued, verdict].join()
}

/**
 * Reads a load report from a header value.
 *
 * @param value - the header, if there was one
 * @returns the report, or undefined when the header is absent or malformed
 */
export function parseLoad (value: string | string[] | undefined): LoadReport | undefined {
  if (typeof value !== 'string') return undefined
  const fields = value.split(',')
  const [slots, limit, inFlight, queued] = fields.slice(0, 4).map(Number)
  const verdict = fields[4]
  if (verdict !== 'healthy' && verdict !== 'sick') return undefined
  if ([slots, limit, inFlight, queued].some((field) => !Number.isFinite(field))) return undefined
  return { slots: slots!, limit: limit!, inFlight: inFlight!, queued: queued!, verdict }
}
