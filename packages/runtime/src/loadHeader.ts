import type { LoadReport, ServiceReference } from '@lavenderturn/decisions'
import { millis } from '@lavenderturn/types'

/**
 * Writes a load report as a header value.
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
 * Writes a gateway's view of a service's other endpoints as a header value.
 *
 * @param reference - the view
 * @returns `serviceMs,errorRate`
 */
export function formatReference ({ serviceMs, errorRate }: ServiceReference): string {
  return `${serviceMs.toFixed(3)},${errorRate.toFixed(3)}`
}

/**
 * Reads a gateway's view of a service's other endpoints.
 *
 * @param value - the header, if there was one
 * @returns the view, or undefined when the header is absent or malformed
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
