import type { LoadReport, ServiceReference } from '@lavenderturn/decisions'
import { millis } from '@lavenderturn/types'

/**
 * Formats a load report as a header value.
 *
 * @param load - the report
 * @returns `slots,limit,inFlight,queued,verdict,share,resumeAfter,errorRate,serviceMs,heldFor`; the last two may be
 * empty
 */
export function formatLoad (load: LoadReport): string {
  const { slots, limit, inFlight, queued, verdict, share, resumeAfter, errorRate, serviceMs, heldFor } = load
  const numbers = [share, resumeAfter, errorRate, serviceMs, heldFor].map((value) => value?.toFixed(3) ?? '')
  return [slots, limit, inFlight, queued, verdict, ...numbers].join()
}

/**
 * Parses a load report from a header value.
 *
 * @param value - the header, if it was received
 * @returns the report, or undefined when the header is absent or malformed
 */
export function parseLoad (value: string | string[] | undefined): LoadReport | undefined {
  if (typeof value !== 'string') return undefined
  const fields = value.split(',')
  const [slots, limit, inFlight, queued] = fields.slice(0, 4).map(Number)
  const verdict = fields[4]
  if (verdict !== 'healthy' && verdict !== 'sick') return undefined
  const [share, resumeAfter, errorRate, serviceMs, heldFor] = fields.slice(5).map(parseOptional)
  const numbers = [slots, limit, inFlight, queued, share, resumeAfter, errorRate]
  if (numbers.some((field) => !Number.isFinite(field))) return undefined
  return {
    slots: slots!,
    limit: limit!,
    inFlight: inFlight!,
    queued: queued!,
    verdict,
    share: share!,
    resumeAfter: millis(resumeAfter!),
    errorRate: errorRate!,
    serviceMs,
    heldFor: heldFor === undefined ? undefined : millis(heldFor)
  }
}

/**
 * Formats the means over a service's other endpoints, as seen by a gateway, as a header value.
 *
 * @param reference - mean service time and error rate
 * @returns `serviceMs,errorRate`
 */
export function formatReference ({ serviceMs, errorRate }: ServiceReference): string {
  return `${serviceMs.toFixed(3)},${errorRate.toFixed(3)}`
}

/**
 * Parses the means over a service's other endpoints from a header value.
 *
 * @param value - the header, if it was received
 * @returns mean service time and error rate, or undefined when the header is absent or malformed
 */
export function parseReference (value: string | undefined): ServiceReference | undefined {
  const fields = (value ?? '').split(',')
  const [serviceMs, errorRate] = fields.map(parseOptional)
  if (fields.length !== 2 || serviceMs === undefined || errorRate === undefined) return undefined
  return Number.isFinite(serviceMs) && Number.isFinite(errorRate) ? { serviceMs, errorRate } : undefined
}

function parseOptional (field: string): number | undefined {
  return field === '' ? undefined : Number(field)
}
