/** Names of the headers that nodes exchange on the forward port. */
export const headers = {
  request: 'lavenderturn-request',
  attempt: 'lavenderturn-attempt',
  team: 'lavenderturn-team',
  route: 'lavenderturn-route',
  service: 'lavenderturn-service',
  endpoint: 'lavenderturn-endpoint',
  deadline: 'lavenderturn-deadline',
  fingerprint: 'lavenderturn-fingerprint',
  /** What the gateway sees of the service's other endpoints: mean service time in milliseconds and error rate. */
  reference: 'lavenderturn-reference',
  result: 'lavenderturn-result',
  /** Boot id of the backend server that died during the attempt. */
  crashedBoot: 'lavenderturn-crashed',
  load: 'lavenderturn-load',
  bootId: 'lavenderturn-boot',
  notRun: 'lavenderturn-not-run'
} as const

/** Headers that belong to one connection and are never passed on (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding',
  'upgrade', 'expect', 'host'
])

/**
 * Selects the headers that may be passed on.
 *
 * @param received - header names and values as Node gives them
 * @param secret - a value that must not be passed on, such as the caller's key
 * @returns the headers to send
 */
export function selectHeaders (
  received: Readonly<Record<string, string | string[] | undefined>>,
  secret?: string
): Record<string, string | string[]> {
  const selected: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(received)) {
    if (value === undefined || CONNECTION_HEADERS.has(name) || name === 'authorization') continue
    if (name.startsWith('lavenderturn-')) continue
    if (secret !== undefined && String(value).includes(secret)) continue
    selected[name] = value
  }
  return selected
}
