/** Headers between gateways and admissions on the forward port, and between admissions and backend servers. */
export const headers = {
  request: 'lavenderturn-request',
  attempt: 'lavenderturn-attempt',
  /** State of the probed attempt in the answer to a probe: `open`, `stalled` or `closed`. */
  attemptState: 'lavenderturn-attempt-state',
  team: 'lavenderturn-team',
  route: 'lavenderturn-route',
  service: 'lavenderturn-service',
  endpoint: 'lavenderturn-endpoint',
  /** Milliseconds until the deadline. */
  deadline: 'lavenderturn-deadline',
  fingerprint: 'lavenderturn-fingerprint',
  /** Mean service time in milliseconds and error rate of the service's other endpoints, as seen by the gateway. */
  reference: 'lavenderturn-reference',
  /** Name of a result code, on answers that do not come from a backend server. */
  result: 'lavenderturn-result',
  /** Boot id of the backend server that crashed during the attempt. */
  crashedBoot: 'lavenderturn-crashed',
  load: 'lavenderturn-load',
  bootId: 'lavenderturn-boot',
  notRun: 'lavenderturn-not-run',
  /** Hybrid logical clock of the sender. */
  clock: 'lavenderturn-clock'
} as const

/** Header names and values as Node parses them. @internal */
export type ReceivedHeaders = Readonly<Record<string, string | string[] | undefined>>

/**
 * Headers that apply to one connection only and are not forwarded (RFC 9110, section 7.6.1). The body is framed anew on
 * each connection.
 */
const CONNECTION_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'host', 'content-length', 'http2-settings'
])

/**
 * Selects the headers that may be forwarded.
 *
 * @param received - header names and values as Node parses them
 * @param secrets - encodings of the caller's key; headers that contain one are not forwarded
 * @returns the headers to send
 */
export function selectHeaders (
  received: ReceivedHeaders,
  secrets: readonly string[] = []
): Record<string, string | string[]> {
  const connectionOptions = listConnectionOptions(received)
  const selected: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(received)) {
    if (
      value === undefined || CONNECTION_HEADERS.has(name) || connectionOptions.has(name) || name === 'authorization'
    ) continue
    if (name.startsWith('lavenderturn-')) continue
    if (secrets.length > 0 && containsSecret(name, value, secrets)) continue
    selected[name] = value
  }
  return selected
}

/**
 * Lists the headers that the `connection` header declares as hop-by-hop.
 *
 * @param received - the headers
 * @returns header names in lower case
 */
function listConnectionOptions (received: ReceivedHeaders): ReadonlySet<string> {
  const value = received.connection
  if (typeof value !== 'string') return new Set()
  return new Set(value.split(',').map((option) => option.trim().toLowerCase()))
}

function containsSecret (name: string, value: string | string[], secrets: readonly string[]): boolean {
  const text = Array.isArray(value) ? value.join('\n') : value
  return secrets.some((secret) => text.includes(secret) || name.includes(secret.toLowerCase()))
}
