/**
 * Numbered result codes. The numbers are stable: a number is never reused for another meaning.
 * `docs/result-codes.md` contains the same table, and a test compares the two.
 */

/** Whether a backend server may have executed a failed request. @public */
export type ExecutionState = 'not-run' | 'unknown' | 'ran'

/** @public */
export interface ResultCodeEntry {
  readonly code: number
  /** HTTP status of the response to the caller. */
  readonly status: number
  readonly title: string
  readonly run: ExecutionState
}

const entries = {
  malformedRequest: { code: 1400, status: 400, title: 'The request is malformed', run: 'not-run' },
  unknownKey: { code: 1401, status: 401, title: 'The key is missing or unknown', run: 'not-run' },
  teamNotAllowed: { code: 1403, status: 403, title: 'The team may not use this route', run: 'not-run' },
  unknownRoute: { code: 1404, status: 404, title: 'No route matches the request', run: 'not-run' },
  deadlineInQueue: {
    code: 1408, status: 503, title: 'The deadline passed before a backend server was free', run: 'not-run'
  },
  duplicate: { code: 1409, status: 409, title: 'The idempotency key was used before', run: 'unknown' },
  idempotencyUnverified: {
    code: 1410, status: 503, title: 'The idempotency key cannot be verified now', run: 'not-run'
  },
  bodyTooLarge: { code: 1413, status: 413, title: 'The body is over the limit of the route', run: 'not-run' },
  protocolSkew: { code: 1426, status: 426, title: 'The protocol versions are too far apart', run: 'not-run' },
  overRate: { code: 1429, status: 429, title: 'The team is over its rate', run: 'not-run' },
  limitUnreachable: { code: 1430, status: 503, title: 'No owner of the team\'s rate limit answers', run: 'not-run' },
  quarantined: {
    code: 1451, status: 503, title: 'The request has crashed several backend servers', run: 'not-run'
  },
  internal: { code: 1500, status: 500, title: 'Internal error', run: 'unknown' },
  outcomeUnknown: { code: 1502, status: 502, title: 'The outcome of the request is unknown', run: 'unknown' },
  unconfirmed: { code: 1503, status: 503, title: 'The configuration cannot be confirmed now', run: 'not-run' },
  deadlineAfterDispatch: {
    code: 1504, status: 504, title: 'The deadline passed after the request was dispatched', run: 'unknown'
  },
  noEndpoint: { code: 1505, status: 503, title: 'No backend server takes the request now', run: 'not-run' },
  queueFull: { code: 1506, status: 503, title: 'The team\'s queue is full', run: 'not-run' },
  draining: { code: 1507, status: 503, title: 'The backend server or data centre takes no new work', run: 'not-run' },
  answerIncomplete: { code: 1508, status: 502, title: 'The answer broke off', run: 'unknown' },
  overloaded: { code: 1509, status: 503, title: 'The node has no memory for the body of the request now', run: 'not-run' },
  invalidDeclaration: { code: 2400, status: 400, title: 'The declaration is invalid', run: 'not-run' },
  staleBase: { code: 2409, status: 409, title: 'Not applied: the base revision is stale', run: 'not-run' },
  storeUnreachable: { code: 2503, status: 503, title: 'Not applied: the store does not answer', run: 'not-run' },
  noMajority: { code: 2504, status: 503, title: 'Not applied: the node hears no majority', run: 'not-run' },
  acceptanceUnknown: { code: 2505, status: 503, title: 'Whether the declaration was accepted is unknown', run: 'unknown' },
  badSetting: { code: 3400, status: 400, title: 'A setting is invalid', run: 'not-run' }
} as const satisfies Record<string, ResultCodeEntry>

/** @public */
export type ResultCodeName = keyof typeof entries

/** All result codes by name. @public */
export const resultCodes: Readonly<Record<ResultCodeName, ResultCodeEntry>> = entries
