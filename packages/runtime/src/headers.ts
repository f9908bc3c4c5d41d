/** Names of the headers that nodes exchange on the forward port, and with backend servers. */
export const headers = {
  request: 'lavenderturn-request',
  attempt: 'lavenderturn-attempt',
  /** Answer to a probe: whether the attempt is `open`, `stalled` or `closed` there. */
  attemptState: 'lavenderturn-attempt-state',
  team: 'lavenderturn-team',
  route: 'lavenderturn-route',
  service: 'lavenderturn-service',
  endpoint: 'lavenderturn-endpoint',
  /** Milliseconds left. */
  deadline: 'lavenderturn-deadline',
  fingerprint: 'lavenderturn-fingerprint',
  /** What the gateway sees of the service's other endpoints: mean service time in milliseconds and error rate. */
  reference: 'lavenderturn-reference',
  /** Name of a result code, on an answer that is not the backend server's own. */
  result: 'lavenderturn-result',
  /** Boot id of the backend server that died during the attempt. */
  crashedBoot: 'lavenderturn-crashed',
  load: 'lavenderturn-load',
  bootId: 'lavenderturn-boot',
  notRun: 'lavenderturn-not-run',
  /** Hybrid logical clock of the sender. */
  clock: 'lavenderturn-clock'
} as const

/** Header names and values as Node gives them. @internal */
export type ReceivedHeaders = Readonly<Record<string, string | string[] | undefined>>

/**
 * Headers that belong to one connection and are never passed on (RFC 9110, section 7.6.1). The framing of a body is
 * set anew on each connection.
 */
const CONNECTION_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'host', 'content-length', 'http2-settings'
])

/**
 * Selects the headers that may be passed on.
 *
 * @param received - header names and values as Node gives them
 * @param secrets - forms of the caller's key; a header that contains one is not passed on
 * @returns the headers to send
 */
export function selectHeaders (
  received: ReceivedHeaders,
  secrets: readonly string[] = []
): Record<string, string | string[]> {
  const named = listConnectionOptions(received)
  const selected: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(received)) {
    if (value === undefined || CONNECTION_HEADERS.has(name) || named.has(name) || name === 'authorization') continue
    if (name.startsWith('lavenderturn-')) continue
    if (secrets.length > 0 && containsSecret(name, value, secrets)) continue
    selected[name] = value
  }
  return selected
}

/**
 * Lists the headers that `connection` names as belonging to the connection.
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
